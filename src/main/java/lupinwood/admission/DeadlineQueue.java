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
 * <p>Selection goes through the queue in order of due time. At the first request that cannot be
 * done by its due time, the candidate with the least utility per cost among the requests so far is
 * selected for rejection. This is the Moore-Hodgson rule for the least number of late jobs (Moore,
 * "An n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968),
 * weighted by utility.
 *
 * <pre>
 * coreSeconds(request) = (running * mean cost / 2 + cost of all candidates including itself) / cores + cost
 * callSeconds(request) = call time * mean calls * (1 + callers ahead / calls allowed), where calls are restricted
 * late if coreSeconds + callSeconds &gt; time left (of a new arrival: 0.85 of it)
 * </pre>
 *
 * <p>A request that a free core could take and that is not too late is always tried, since a wrong
 * cost estimate could otherwise never be corrected: it is neither a candidate nor counted.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DeadlineQueue {
    /**
     * The part of its time left that a new arrival may need, so that rejections fall on new
     * arrivals.
     */
    private static final double NEW_ARRIVAL_TIME_RATIO = 0.85;

    /** A request with more than this part of its time left counts as a new arrival. */
    private static final double NEW_ARRIVAL_TIME_LEFT_RATIO = 0.9;

    /** The present capacity of the node and of the shared dependency. */
    record Capacity(
            double cores, int running, double meanCost, CallCapacity calls, MonotonicTime now) {}

    /**
     * The present capacity of the shared dependency.
     *
     * @param isRestricted whether less than half the quota is allowed and requests wait to call
     * @param waiting the requests that wait to call
     */
    record CallCapacity(
            boolean isRestricted, double allowed, NanoDuration callTime, CallQueue waiting) {}

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
                        .thenComparingLong(each -> -each.request.number());

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
        ToDoubleFunction<AdmittedRequest> presentCost = each -> cost.cost(each, now);
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
            double ownCoreSeconds = cost.cost(request, capacity.now());
            Candidate candidate = new Candidate(request, utility.utility(request) / ownCoreSeconds);
            candidates.add(candidate);
            coreSecondsAhead += ownCoreSeconds;
            double coreSeconds = coreSecondsUntilDone(capacity, coreSecondsAhead, ownCoreSeconds);
            double usableSeconds = usableSecondsLeft(request, capacity.now());
            if (coreSeconds + callSecondsUntilDone(capacity, request, callsRestricted)
                    > usableSeconds) {
                // Where only calls are restricted, rejecting another request would not make this
                // one finish in time.
                Candidate rejected = coreSeconds > usableSeconds ? candidates.peek() : candidate;
                candidates.remove(rejected);
                coreSecondsAhead -= cost.cost(rejected.request, capacity.now());
                selected.add(rejected.request);
            }
        }
        return new Overflow(selected, coreSecondsAhead);
    }

    private static double coreSecondsUntilDone(
            Capacity capacity, double coreSecondsAhead, double ownCoreSeconds) {
        double runningSeconds = capacity.running() * capacity.meanCost() / 2;
        return (runningSeconds + coreSecondsAhead) / capacity.cores() + ownCoreSeconds;
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
                * (1 + callersAhead / calls.allowed());
    }

    private static double usableSecondsLeft(AdmittedRequest request, MonotonicTime now) {
        double secondsLeft = request.due().since(now).seconds();
        double secondsAtArrival = request.due().since(request.arrivedAt()).seconds();
        return secondsLeft
                * (secondsLeft > secondsAtArrival * NEW_ARRIVAL_TIME_LEFT_RATIO
                        ? NEW_ARRIVAL_TIME_RATIO
                        : 1);
    }
}
