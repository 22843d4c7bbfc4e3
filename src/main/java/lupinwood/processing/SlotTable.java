package lupinwood.processing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of numbered slots. An id combines a slot with the generation of its use, so that a late
 * event about a former item never affects the item that uses the slot now.
 *
 * <p>Not thread-safe; the tables of the request processor are owned by the event loop thread.
 */
public final class SlotTable<T> {
    private static final int SLOT_BITS = 20;

    private final List<T> slots = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private final int capacity;

    /**
     * Creates an empty table.
     *
     * @param capacity the maximum number of items, 1 to 2^20
     * @throws IllegalArgumentException if the capacity is out of bounds
     */
    public SlotTable(int capacity) {
        if (capacity < 1 || capacity > 1 << SLOT_BITS) {
            throw new IllegalArgumentException(
                    "slot table capacity must be 1 to 2^20, not " + capacity + " slots");
        }
        this.capacity = capacity;
    }

    /** Whether the table has no free slot. */
    public boolean isFull() {
        return size() >= capacity;
    }

    /** The number of items. */
    public int size() {
        return slots.size() - free.size();
    }

    /**
     * Adds an item.
     *
     * @return its id
     * @throws IllegalStateException if the table is full
     */
    public long put(T item) {
        if (isFull()) {
            throw new IllegalStateException("all " + capacity + " slots of the table are in use");
        }
        int slot;
        if (free.isEmpty()) {
            slot = slots.size();
            slots.add(item);
            generations.add(1L);
        } else {
            slot = free.remove(free.size() - 1);
            slots.set(slot, item);
            generations.set(slot, generations.get(slot) + 1);
        }
        return generations.get(slot) << SLOT_BITS | slot;
    }

    /** The item with this id; null once it was removed. */
    public T get(long id) {
        int slot = (int) (id & (1 << SLOT_BITS) - 1);
        return slot < slots.size() && generations.get(slot) == id >>> SLOT_BITS
                ? slots.get(slot)
                : null;
    }

    /** Removes and returns the item with this id; null if it was removed before. */
    public T remove(long id) {
        T item = get(id);
        if (item != null) {
            int slot = (int) (id & (1 << SLOT_BITS) - 1);
            slots.set(slot, null);
            free.add(slot);
        }
        return item;
    }

    /** Calls the action with each item; the action may remove items. */
    public void forEach(Consumer<T> action) {
        for (int slot = 0; slot < slots.size(); slot++) {
            if (slots.get(slot) != null) {
                action.accept(slots.get(slot));
            }
        }
    }
}
