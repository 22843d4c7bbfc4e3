package lupinwood.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The requests that wait for their turn to call downstream. The one that adds most utility for its
 * remaining calls goes first.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class CallQueue {
    private final TreeSet<AdmittedRequest> waiting = new TreeSet<>(AdmittedRequest.BY_DUE_TIME);
    private final UtilityModel utility;

    CallQueue(UtilityModel utility) {
        this.utility = utility;
    }

    void add(AdmittedRequest request) {
        waiting.add(request);
    }

    void remove(AdmittedRequest request) {
        waiting.remove(request);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    Stream<AdmittedRequest> stream() {
        return waiting.stream();
    }

    /** Those that are answered already, or would have their call back past their due time. */
    List<AdmittedRequest> hopeless(MonotonicTime soonestReturn) {
        return waiting.stream()
                .filter(each -> each.isAnswered() || each.due().isBefore(soonestReturn))
                .toList();
    }

    /** The one to call next. */
    Optional<AdmittedRequest> next() {
        return waiting.stream().max(Comparator.comparingDouble(utility::utilityPerCall));
    }
}
