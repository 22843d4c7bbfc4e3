package lupinwood.processing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of numbered slots. An id is a slot and the generation of its use, so that late news of
 * what stood there before never hits what stands there now.
 *
 * <p>Not safe for several threads; those of the request processor belong to the event loop thread.
 */
public final class SlotTable<T> {
    private static final int SLOT_BITS = 20;

    private final List<T> slots = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private final int capacity;

    /**
     * An empty table.
     *
     * @param capacity how many items it takes at most, 1 to 2^20
     * @throws IllegalArgumentException where that is out of bounds
     */
    public SlotTable(int capacity) {
        if (capacity < 1 || capacity > 1 << SLOT_BITS) {
            throw new IllegalArgumentException("no table has " + capacity + " slots");
        }
        this.capacity = capacity;
    }

    /** Whether no further item has a place. */
    public boolean isFull() {
        return size() >= capacity;
    }

    /** How many items stand now. */
    public int size() {
        return slots.size() - free.size();
    }

    /**
     * Adds an item.
     *
     * @return its id
     * @throws IllegalStateException where the table is full
     */
    public long put(T item) {
        if (isFull()) {
            throw new IllegalStateException("all " + capacity + " slots are taken");
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

    /** What stands under this id, or null once that is over. */
    public T get(long id) {
        int slot = (int) (id & (1 << SLOT_BITS) - 1);
        return slot < slots.size() && generations.get(slot) == id >>> SLOT_BITS
                ? slots.get(slot)
                : null;
    }

    /** Frees the slot of this id; what stood there, or null where that was over before. */
    public T remove(long id) {
        T item = get(id);
        if (item != null) {
            int slot = (int) (id & (1 << SLOT_BITS) - 1);
            slots.set(slot, null);
            free.add(slot);
        }
        return item;
    }

    /** Each item that stands now; items may go while this runs. */
    public void forEach(Consumer<T> what) {
        for (int slot = 0; slot < slots.size(); slot++) {
            if (slots.get(slot) != null) {
                what.accept(slots.get(slot));
            }
        }
    }
}
