package lupinwood.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * The admitted requests that wait for a core, by due time, and the selection of those to reject
 * when not all can be done in time.
 *
 * <p>Selection goes through the queue in order of due time. At each request that cannot be done by
 * its due time, the candidate with the least utility per cost among the requests so far is selected
 * for rejection. This is the Moore-Hodgson rule for the least number of late jobs (Moore, "An n
 * job, one machine sequencing algorithm for minimizing the number of late jobs", 1968), weighted by
 * utility. Where the cores could finish the request in time and only the restricted calls make it
 * late, the request itself is selected.
 *
 * <pre>
 * secondsUntilDone(request)     = (running * mean cost / 2 + cost of all candidates including itself) / cores + cost
 * callSecondsUntilDone(request) = call time * mean calls * (1 + callers ahead / calls allowed), where calls are restricted
 * late if secondsUntilDone + callSecondsUntilDone &gt; time left (of a new arrival: 0.85 of it)
 * </pre>
 *
 * <p>A request that a free core could take and that is not too late is always tried, since a wrong
 * cost estimate could otherwise never be corrected: it is neither a candidate nor counted. This
 * does not hold for a request whose request class calls while calls are restricted.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DeadlineQueue {
    /**
     * A new arrival counts as late if it needs more than this part of its time left. The bound is
     * stricter so that new arrivals, rather than requests queued for longer, are rejected.
     */
    private static final double USABLE_TIME_RATIO_OF_NEW_ARRIVAL = 0.85;

    /** A request with more than this part of its time left counts as a new arrival. */
    private static final double NEW_ARRIVAL_THRESHOLD_RATIO = 0.9;

    /** The present capacity of the node and of the shared dependency. */
    record Capacity(
            double cores,
            int running,
            double meanCoreSeconds,
            CallCapacity calls,
            MonotonicTime now) {}

    /**
     * The present capacity of the shared dependency.
     *
     * @param isRestricted whether less than half the quota is allowed and requests wait to call
     * @param waiting the requests that wait to call
     */
    record CallCapacity(
            boolean isRestricted, double allowedCalls, NanoDuration callTime, CallQueue waiting) {}

    /**
     * The requests to reject.
     *
     * @param requests in the order in which they were selected
     * @param coreSecondsAhead the work of the candidates that stay queued
     */
    record Overflow(List<AdmittedRequest> requests, double coreSecondsAhead) {}

    /** A request that may be selected for rejection. */
    private static final class Candidate {
        static final Comparator<Candidate> LEAST_UTILITY_FIRST =
                Comparator.<Candidate>comparingDouble(each -> each.utilityPerCost)
                        .thenComparingLong(each -> -each.request.arrivalNumber());

        final AdmittedRequest request;
        final double utilityPerCost;

        Candidate(AdmittedRequest request, double utilityPerCost) {
            this.request = request;
            this.utilityPerCost = utilityPerCost;
        }
    }

    private final TreeSet<AdmittedRequest> queue = new TreeSet<>(AdmittedRequest.BY_DUE_TIME);
    private final CostEstimator cost;
    private final UtilityModel utility;

    DeadlineQueue(CostEstimator cost, UtilityModel utility) {
        this.cost = cost;
        this.utility = utility;
    }

    void add(AdmittedRequest request) {
        queue.add(request);
    }

    void remove(AdmittedRequest request) {
        queue.remove(request);
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** The request due first; the queue must not be empty. */
    AdmittedRequest first() {
        return queue.first();
    }

    /**
     * The request due last among those that are over their tenant's quota and counted in flight.
     */
    Optional<AdmittedRequest> lastOverQuota() {
        return queue.descendingSet().stream()
                .filter(each -> each.isOverQuota() && each.isCountedInFlight())
                .findFirst();
    }

    /** The core seconds of the queued requests that are within their tenant's quota. */
    double coreSecondsWithinQuotas(MonotonicTime now) {
        ToDoubleFunction<AdmittedRequest> presentCost = each -> cost.coreSeconds(each, now);
        Stream<AdmittedRequest> withinQuota = queue.stream().filter(each -> !each.isOverQuota());
        return withinQuota.mapToDouble(presentCost).sum();
    }

    /** Selects the requests to reject; they stay in the queue until they are rejected. */
    Overflow overflow(Capacity capacity) {
        List<AdmittedRequest> selected = new ArrayList<>();
        PriorityQueue<Candidate> candidates = new PriorityQueue<>(Candidate.LEAST_UTILITY_FIRST);
        double coreSecondsAhead = 0;
        double freeCores = capacity.cores() - capacity.running();
        for (AdmittedRequest request : queue) {
            boolean callsRestricted =
                    request.requestClass().calls() && capacity.calls().isRestricted();
            boolean hasFreeCore = freeCores >= 1;
            freeCores--;
            if (hasFreeCore && !cost.isTooLate(request, capacity.now()) && !callsRestricted) {
                continue;
            }
            double ownCoreSeconds = cost.coreSeconds(request, capacity.now());
            Candidate candidate = new Candidate(request, utility.utility(request) / ownCoreSeconds);
            candidates.add(candidate);
            coreSecondsAhead += ownCoreSeconds;
            double secondsUntilDone = secondsUntilDone(capacity, coreSecondsAhead, ownCoreSeconds);
            double usableSeconds = usableSecondsLeft(request, capacity.now());
            if (secondsUntilDone + callSecondsUntilDone(capacity, request, callsRestricted)
                    > usableSeconds) {
                // Where only calls are restricted, rejecting another request would not make this
                // one finish in time.
                Candidate rejected =
                        secondsUntilDone > usableSeconds ? candidates.peek() : candidate;
                candidates.remove(rejected);
                coreSecondsAhead -= cost.coreSeconds(rejected.request, capacity.now());
                selected.add(rejected.request);
            }
        }
        return new Overflow(selected, coreSecondsAhead);
    }

    private static double secondsUntilDone(
            Capacity capacity, double coreSecondsIncludingOwn, double ownCoreSeconds) {
        double runningSeconds = capacity.running() * capacity.meanCoreSeconds() / 2;
        return (runningSeconds + coreSecondsIncludingOwn) / capacity.cores() + ownCoreSeconds;
    }

    private double callSecondsUntilDone(
            Capacity capacity, AdmittedRequest request, boolean callsRestricted) {
        if (!callsRestricted) {
            return 0;
        }
        CallCapacity calls = capacity.calls();
        double ownUtility = utility.utility(request);
        long callersAhead =
                calls.waiting().stream()
                        .filter(each -> utility.utility(each) >= ownUtility)
                        .count();
        return calls.callTime().seconds()
                * request.classState().callSequence().meanCalls()
                * (1 + callersAhead / calls.allowedCalls());
    }

    private static double usableSecondsLeft(AdmittedRequest request, MonotonicTime now) {
        double secondsLeft = request.dueAt().since(now).seconds();
        double secondsAtArrival = request.dueAt().since(request.arrivedAt()).seconds();
        return secondsLeft
                * (secondsLeft > secondsAtArrival * NEW_ARRIVAL_THRESHOLD_RATIO
                        ? USABLE_TIME_RATIO_OF_NEW_ARRIVAL
                        : 1);
    }
}
