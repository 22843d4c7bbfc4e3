package lupinwood.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import lupinwood.cluster.ClusterState.CompletedOrder;
import lupinwood.cluster.ClusterState.HistoryEntry;

/**
 * The completed orders, so that an order sent again is carried out only once, and the history that
 * operators read. Both are bounded; the oldest entries are dropped first. Part of {@link
 * ClusterState}, and owned by the same thread.
 */
final class OperatorLog {
    private static final int MAX_RETAINED_ENTRIES = 256;

    private final ArrayDeque<CompletedOrder> orders = new ArrayDeque<>();
    private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();

    void restore(Collection<CompletedOrder> storedOrders, Collection<HistoryEntry> storedHistory) {
        orders.clear();
        orders.addAll(storedOrders);
        history.clear();
        history.addAll(storedHistory);
    }

    /** Records an order as completed. */
    void complete(String order, String result) {
        orders.add(new CompletedOrder(order, result));
        if (orders.size() > MAX_RETAINED_ENTRIES) {
            orders.poll();
        }
    }

    /**
     * Adds an entry to the history.
     *
     * @param atMillis milliseconds since 1970 (UTC), by the wall clock of the voter that led then
     */
    void addHistory(long atMillis, String text) {
        history.add(new HistoryEntry(atMillis, text));
        if (history.size() > MAX_RETAINED_ENTRIES) {
            history.poll();
        }
    }

    /** A reason as the end of a history entry; empty for none. */
    static String reasonSuffix(String why) {
        return why.isEmpty() ? "" : ": " + why;
    }

    boolean isCompleted(String order) {
        return result(order) != null;
    }

    /** The result of a completed order; null for any other. */
    String result(String order) {
        return orders.stream()
                .filter(completed -> completed.order().equals(order))
                .map(CompletedOrder::result)
                .findFirst()
                .orElse(null);
    }

    List<CompletedOrder> orders() {
        return new ArrayList<>(orders);
    }

    List<HistoryEntry> history() {
        return new ArrayList<>(history);
    }
}
