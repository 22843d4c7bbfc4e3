package lupinwood.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The requests that wait to call downstream, by due time. {@link #next} selects the one with the
 * highest utility per remaining call.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallQueue {
    private final TreeSet<AdmittedRequest> requests = new TreeSet<>(AdmittedRequest.BY_DUE_TIME);
    private final UtilityModel utility;

    CallQueue(UtilityModel utility) {
        this.utility = utility;
    }

    void add(AdmittedRequest request) {
        requests.add(request);
    }

    void remove(AdmittedRequest request) {
        requests.remove(request);
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    int size() {
        return requests.size();
    }

    Stream<AdmittedRequest> stream() {
        return requests.stream();
    }

    /**
     * The requests that need no call any more: they need no answer, or are due before a call could
     * return.
     *
     * @param earliestReturn when a call made as soon as possible would return
     */
    List<AdmittedRequest> expired(MonotonicTime earliestReturn) {
        return requests.stream()
                .filter(each -> each.needsNoAnswer() || each.dueAt().isBefore(earliestReturn))
                .toList();
    }

    /** The request to call next: the one with the highest utility per remaining call. */
    Optional<AdmittedRequest> next() {
        return requests.stream().max(Comparator.comparingDouble(utility::utilityPerCall));
    }
}
