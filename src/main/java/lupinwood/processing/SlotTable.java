package lupinwood.processing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of numbered slots. An id is a slot and the generation of its use, so that late news of
 * what stood there before never hits what stands there now.
 */
public final class SlotTable<T> {
    private static final int SLOT_BITS = 20;

    private final List<T> slots = new ArrayList<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<Integer> free = new ArrayList<>();
    private final int most;

    public SlotTable(int most) {
        if (most < 1 || most > 1 << SLOT_BITS) {
            throw new IllegalArgumentException("no table has " + most + " slots");
        }
        this.most = most;
    }

    public boolean isFull() {
        return size() >= most;
    }

    public int size() {
        return slots.size() - free.size();
    }

    public long put(T item) {
        if (isFull()) {
            throw new IllegalStateException("all " + most + " slots are taken");
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
