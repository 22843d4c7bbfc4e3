package lupinwood.processing;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import lupinwood.admission.RequestId;

/**
 * The requests that the admission policy has not released, by id and by attempt, bounded in number.
 *
 * <p>Owned by the event loop thread.
 */
final class RequestTable {
    private final SlotTable<ActiveRequest> slots;
    private final Map<AttemptId, ActiveRequest> byAttempt = new HashMap<>();

    /**
     * The requests for which a run was requested. Kept apart so that loops over them don't grow
     * with the number of queued requests.
     */
    private final Set<ActiveRequest> started = new LinkedHashSet<>();

    private final EndedUnsafeAttempts endedAttempts;

    RequestTable(int maxRequests, EndedUnsafeAttempts endedAttempts) {
        slots = new SlotTable<>(maxRequests);
        this.endedAttempts = endedAttempts;
    }

    boolean isFull() {
        return slots.isFull();
    }

    int size() {
        return slots.size();
    }

    /** Adds a request and gives it its id. */
    void add(ActiveRequest activeRequest) {
        activeRequest.id = new RequestId(slots.put(activeRequest));
        byAttempt.put(activeRequest.incomingRequest.attemptId(), activeRequest);
    }

    /** The request with this id; null once it was released. */
    ActiveRequest get(RequestId id) {
        return slots.get(id.number());
    }

    /** The request with this attempt id; null if there is none. */
    ActiveRequest find(AttemptId id) {
        return byAttempt.get(id);
    }

    /** The request with this attempt id; null unless a run was requested for it. */
    ActiveRequest findStarted(AttemptId id) {
        ActiveRequest activeRequest = byAttempt.get(id);
        return activeRequest != null && activeRequest.started ? activeRequest : null;
    }

    /** Whether a request with this attempt id is in the table, or an unsafe one may have run. */
    boolean isInUse(AttemptId id) {
        return byAttempt.containsKey(id) || endedAttempts.contains(id);
    }

    /** Marks the request as one for which a run was requested. */
    void markStarted(ActiveRequest activeRequest) {
        activeRequest.started = true;
        started.add(activeRequest);
    }

    /** The requests for which a run was requested, in the order of those runs. */
    Set<ActiveRequest> started() {
        return Collections.unmodifiableSet(started);
    }

    /** Removes and returns a request; null if it was released before. */
    ActiveRequest remove(RequestId id) {
        ActiveRequest activeRequest = slots.remove(id.number());
        if (activeRequest != null) {
            byAttempt.remove(activeRequest.incomingRequest.attemptId(), activeRequest);
            started.remove(activeRequest);
            endedAttempts.onReleased(activeRequest);
        }
        return activeRequest;
    }
}
