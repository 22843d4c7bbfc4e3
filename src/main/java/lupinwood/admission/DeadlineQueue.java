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
 * The admitted requests that wait for a core, by due time, and the choice of those that give way
 * when not all can be done in time.
 *
 * <p>The queue is gone through in its order. At the first request that can't be done by its due
 * time, the one among those passed so far that adds least utility for its cost is given up: the
 * idea of Moore and Hodgson's rule for the least number of late jobs (Moore, "An n job, one machine
 * sequencing algorithm for minimizing the number of late jobs", 1968), weighted by utility.
 *
 * <pre>
 * needs(request) = (running * mean cost / 2 + cost of all passed and itself) / cores + cost
 * calls(request) = call time * mean calls * (1 + callers ahead / calls allowed), where calls are short
 * late if needs + calls &gt; time left (of a fresh arrival: 0.85 of it)
 * </pre>
 *
 * <p>A free core always tries what is not too late, since a wrong estimate of cost could otherwise
 * never be put right: such a request is neither passed in this sense nor chosen.
 *
 * <p>Owned by the thread of the {@link AdmissionController}.
 */
final class DeadlineQueue {
    /** The part of its time that an arrival may need, so that rejections fall on arrivals. */
    private static final double ARRIVAL_MARGIN = 0.85;

    /** With more than this part of its time left a request counts as just arrived. */
    private static final double FRESH_ABOVE = 0.9;

    /** What the machine and the dependency can do now. */
    record Capacity(
            double cores, int running, double meanCost, CallCapacity calls, MonotonicTime now) {}

    /**
     * What the dependency can do now.
     *
     * @param isShort whether less than half the quota is allowed and requests wait to call
     * @param waiting the requests that wait to call
     */
    record CallCapacity(
            boolean isShort, double allowed, NanoDuration callTime, CallQueue waiting) {}

    /**
     * Who gives way.
     *
     * @param requests in the order in which they were chosen
     * @param coreSecondsAhead the work of those that stay
     */
    record Overflow(List<AdmittedRequest> requests, double coreSecondsAhead) {}

    /** A request that was passed on the way through the queue. */
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

    /** The one due soonest; the queue must not be empty. */
    AdmittedRequest first() {
        return queue.first();
    }

    /** A request over its tenant's quota that is counted in flight, the one due last. */
    Optional<AdmittedRequest> lastOverQuota() {
        return queue.descendingSet().stream()
                .filter(each -> each.isOverQuota() && each.isCountedInFlight())
                .findFirst();
    }

    /** The core seconds of all that wait within their quotas. */
    double workWithinQuotas(MonotonicTime now) {
        ToDoubleFunction<AdmittedRequest> costNow = each -> cost.cost(each, now);
        Stream<AdmittedRequest> within = queue.stream().filter(each -> !each.isOverQuota());
        return within.mapToDouble(costNow).sum();
    }

    /** Chooses the requests that give way; they stay in the queue until they are rejected. */
    Overflow overflow(Capacity capacity) {
        List<AdmittedRequest> givenUp = new ArrayList<>();
        PriorityQueue<Candidate> passed = new PriorityQueue<>(Candidate.LEAST_UTILITY_FIRST);
        double ahead = 0;
        double freeCores = capacity.cores() - capacity.running();
        for (AdmittedRequest request : queue) {
            boolean callsShort = request.requestClass().calls() && capacity.calls().isShort();
            boolean hasFreeCore = freeCores >= 1;
            freeCores--;
            if (hasFreeCore && !cost.isTooLate(request, capacity.now()) && !callsShort) {
                continue;
            }
            double own = cost.cost(request, capacity.now());
            Candidate candidate = new Candidate(request, utility.utility(request) / own);
            passed.add(candidate);
            ahead += own;
            double needs = coreTimeUntilDone(capacity, ahead, own);
            double left = timeLeft(request, capacity.now());
            if (needs + callTimeUntilDone(capacity, request, callsShort) > left) {
                // Where only calls are short another request would not make room for this one.
                Candidate least = needs > left ? passed.peek() : candidate;
                passed.remove(least);
                ahead -= cost.cost(least.request, capacity.now());
                givenUp.add(least.request);
            }
        }
        return new Overflow(givenUp, ahead);
    }

    private static double coreTimeUntilDone(Capacity capacity, double ahead, double own) {
        double running = capacity.running() * capacity.meanCost() / 2;
        return (running + ahead) / capacity.cores() + own;
    }

    private double callTimeUntilDone(
            Capacity capacity, AdmittedRequest request, boolean callsShort) {
        if (!callsShort) {
            return 0;
        }
        CallCapacity calls = capacity.calls();
        double own = utility.utility(request);
        long before = calls.waiting().stream().filter(each -> utility.utility(each) >= own).count();
        return calls.callTime().seconds()
                * request.classState().callSequence().meanCalls()
                * (1 + before / calls.allowed());
    }

    private static double timeLeft(AdmittedRequest request, MonotonicTime now) {
        double left = request.due().since(now).seconds();
        double whole = request.due().since(request.arrivedAt()).seconds();
        return left * (left > whole * FRESH_ABOVE ? ARRIVAL_MARGIN : 1);
    }
}
