package lupinwood.rollout;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import lupinwood.cluster.RequestCounts;

/**
 * Judges nodes that have what is released beside those that haven't, in the same zone and time,
 * each beside its own past where that is known: so what comes over all of a zone by chance is
 * blamed on nothing. No figure is compared with a fixed number but the harm that the operator
 * wouldn't bear.
 *
 * <p>All nodes and each zone are looked at, all request classes together and each by itself; the
 * more looks, and they are taken again and again, the surer each has to be.
 */
public final class CanaryAnalysis {
    /**
     * In standard errors: to call it worse, which is looked for again and again, and to call it
     * well.
     */
    private static final double SURE_WORSE = 3.2;

    private static final double SURE_WORSE_IN_PART = 4.2;
    private static final double SURE_WELL = 1.6;

    /**
     * A part of a whole may hide this many times the harm from a look at the whole; it is looked at
     * for so much.
     */
    private static final double PART = 3;

    /** How likely so many losses on one side are by chance; below it they aren't. */
    private static final double CHANCE_OF_LOSSES = 0.02;

    private static final double CHANCE_OF_RESTARTS = 0.002;

    /** Requests that a node must have had for its figures to count. */
    private static final int ENOUGH = 20;

    private static final double MOST_KNOWN = 0.6;

    private CanaryAnalysis() {}

    public static CanaryVerdict judge(List<NodeSample> samples, CanaryLimits limits) {
        CanaryVerdict gone = losses(samples);
        if (gone != null) {
            return gone;
        }
        List<String> zones =
                new ArrayList<>(
                        new TreeSet<>(samples.stream().map(one -> one.site().toString()).toList()));
        Set<String> requestClasses = new LinkedHashSet<>();
        samples.forEach(
                one ->
                        one.after()
                                .counts()
                                .forEach(count -> requestClasses.add(count.className())));
        Comparison whole = new Comparison(samples, "", limits.harm(), SURE_WORSE);
        if (whole.isWorse()) {
            return new CanaryVerdict(CanaryVerdict.Kind.WORSE, whole.text("worse"));
        }
        Comparison slow = Comparison.ofTime(samples, Math.log1p(limits.slower()), SURE_WORSE);
        if (slow.isWorse()) {
            return new CanaryVerdict(CanaryVerdict.Kind.WORSE, slow.text("slower"));
        }
        for (String className : requestClasses) {
            Comparison look = new Comparison(samples, className, limits.harm(), SURE_WORSE_IN_PART);
            if (look.isWorse()) {
                return new CanaryVerdict(CanaryVerdict.Kind.WORSE, look.text("worse"));
            }
        }
        for (String zone : zones) {
            List<NodeSample> there =
                    samples.stream().filter(one -> one.site().toString().equals(zone)).toList();
            Comparison look = new Comparison(there, "", limits.harm(), SURE_WORSE_IN_PART);
            if (look.isWorse()) {
                return new CanaryVerdict(
                        CanaryVerdict.Kind.WORSE, "in " + zone + ": " + look.text("worse"));
            }
        }
        if (whole.estimate == null) {
            boolean beside =
                    samples.stream().anyMatch(one -> !one.changed())
                            && samples.stream().anyMatch(NodeSample::changed);
            return new CanaryVerdict(
                    beside ? CanaryVerdict.Kind.UNSURE : CanaryVerdict.Kind.WELL,
                    beside
                            ? "too few tickets to tell"
                            : "no unchanged node is left to compare with");
        }
        if (!whole.isWell()) {
            return new CanaryVerdict(CanaryVerdict.Kind.UNSURE, whole.text("not sure yet"));
        }
        if (slow.estimate != null && !slow.isWell()) {
            return new CanaryVerdict(CanaryVerdict.Kind.UNSURE, slow.text("not sure yet"));
        }
        for (String className : requestClasses) {
            Comparison look =
                    new Comparison(samples, className, limits.harm() * PART, SURE_WORSE_IN_PART);
            if (look.estimate != null && !look.isWell()) {
                return new CanaryVerdict(CanaryVerdict.Kind.UNSURE, look.text("not sure yet"));
            }
        }
        return new CanaryVerdict(CanaryVerdict.Kind.WELL, whole.text("well"));
    }

    /** Null where nodes that have it don't go missing, or start anew, more than the others do. */
    static CanaryVerdict losses(List<NodeSample> samples) {
        int changed = (int) samples.stream().filter(NodeSample::changed).count();
        int lost = (int) samples.stream().filter(NodeSample::lost).count();
        int lostChanged = (int) samples.stream().filter(one -> one.changed() && one.lost()).count();
        if (changed == 0) {
            return null;
        }
        boolean allOfThem = lostChanged == changed && lost - lostChanged < samples.size() - changed;
        if (lostChanged > 0
                && (allOfThem
                        || atLeast(lostChanged, lost, changed, samples.size())
                                < CHANCE_OF_LOSSES)) {
            return new CanaryVerdict(
                    CanaryVerdict.Kind.WORSE,
                    lostChanged
                            + " of "
                            + changed
                            + " nodes that have it are lost, "
                            + (lost - lostChanged)
                            + " of the "
                            + (samples.size() - changed)
                            + " others");
        }
        int restarts = samples.stream().mapToInt(NodeSample::restarts).sum();
        int restartsChanged =
                samples.stream().filter(NodeSample::changed).mapToInt(NodeSample::restarts).sum();
        // Each restart falls on a node by chance, so it falls on a changed one by their share.
        if (restartsChanged > 1
                && tail(restartsChanged, restarts, (double) changed / samples.size())
                        < CHANCE_OF_RESTARTS) {
            return new CanaryVerdict(
                    CanaryVerdict.Kind.WORSE,
                    restartsChanged
                            + " restarts at "
                            + changed
                            + " nodes that have it, "
                            + (restarts - restartsChanged)
                            + " at the "
                            + (samples.size() - changed)
                            + " others");
        }
        return null;
    }

    /**
     * How likely it is that of so many lost ones at least these are changed, drawn without putting
     * back.
     */
    private static double atLeast(int lostChanged, int lost, int changed, int all) {
        double sum = 0;
        for (int i = lostChanged; i <= Math.min(lost, changed); i++) {
            sum +=
                    Math.exp(
                            choose(changed, i)
                                    + choose(all - changed, lost - i)
                                    - choose(all, lost));
        }
        return sum;
    }

    private static double tail(int least, int tries, double share) {
        double sum = 0;
        for (int i = least; i <= tries; i++) {
            sum +=
                    Math.exp(
                            choose(tries, i)
                                    + i * Math.log(share)
                                    + (tries - i) * Math.log(Math.max(1e-12, 1 - share)));
        }
        return sum;
    }

    private static double choose(int n, int k) {
        if (k < 0 || k > n) {
            return Double.NEGATIVE_INFINITY;
        }
        double sum = 0;
        for (int i = 1; i <= k; i++) {
            sum += Math.log(n - k + i) - Math.log(i);
        }
        return sum;
    }

    /** One figure of some nodes. */
    private static final class Comparison {
        private final String what;
        private final double bound;
        private final double sure;
        private final boolean inTime;
        final EffectEstimate estimate;

        /** What goes wrong, as a share; of a request class, or with an empty name of all. */
        Comparison(List<NodeSample> samples, String className, double harm, double sure) {
            this(
                    className.isEmpty() ? "of all tickets" : "of " + className,
                    harm,
                    sure,
                    false,
                    points(samples, className));
        }

        private Comparison(
                String what,
                double bound,
                double sure,
                boolean inTime,
                List<EffectEstimate.Point> points) {
            this.what = what;
            this.bound = bound;
            this.sure = sure;
            this.inTime = inTime;
            estimate = EffectEstimate.of(points);
        }

        /** The mean time to answer, as a logarithm. */
        static Comparison ofTime(List<NodeSample> samples, double bound, double sure) {
            List<EffectEstimate.Point> points = new ArrayList<>();
            boolean pasts =
                    known(
                            samples,
                            one -> one.before() != null && one.before().all().served() >= ENOUGH);
            for (NodeSample one : samples) {
                if (pasts && (one.before() == null || one.before().all().served() < ENOUGH)) {
                    continue;
                }
                RequestCounts.ClassCounts after = one.after().all();
                if (after.served() >= ENOUGH
                        && after.seconds() > 0
                        && (!pasts || one.before().all().seconds() > 0)) {
                    double past = pasts ? log(one.before().all()) : 0;
                    double variance =
                            1.0 / after.served() + (pasts ? 1.0 / one.before().all().served() : 0);
                    points.add(
                            new EffectEstimate.Point(
                                    one.site(), one.changed(), log(after) - past, variance));
                }
            }
            return new Comparison("of the time to answer", bound, sure, true, points);
        }

        private static double log(RequestCounts.ClassCounts count) {
            return Math.log(Math.max(1e-6, count.seconds() / count.served()));
        }

        private static List<EffectEstimate.Point> points(
                List<NodeSample> samples, String className) {
            ToDoubleFunction<RequestCounts.ClassCounts> share =
                    count -> (double) count.bad() / count.all();
            boolean pasts = known(samples, one -> enough(one.before(), className));
            List<EffectEstimate.Point> points = new ArrayList<>();
            for (NodeSample one : samples) {
                RequestCounts.ClassCounts after = of(one.after(), className);
                if (after != null
                        && after.all() >= ENOUGH
                        && (!pasts || enough(one.before(), className))) {
                    RequestCounts.ClassCounts before = pasts ? of(one.before(), className) : null;
                    double past = before == null ? 0 : share.applyAsDouble(before);
                    double variance = variance(after) + (before == null ? 0 : variance(before));
                    points.add(
                            new EffectEstimate.Point(
                                    one.site(),
                                    one.changed(),
                                    share.applyAsDouble(after) - past,
                                    variance));
                }
            }
            return points;
        }

        /**
         * Whether most of both sides have a past; the few others are then left aside. Else levels
         * are compared.
         */
        private static boolean known(List<NodeSample> samples, Predicate<NodeSample> has) {
            for (boolean side : new boolean[] {true, false}) {
                long all = samples.stream().filter(one -> one.changed() == side).count();
                long with =
                        samples.stream()
                                .filter(one -> one.changed() == side && has.test(one))
                                .count();
                if (with < all * MOST_KNOWN) {
                    return false;
                }
            }
            return true;
        }

        private static boolean enough(RequestCounts requestCounts, String className) {
            RequestCounts.ClassCounts count =
                    requestCounts == null ? null : of(requestCounts, className);
            return count != null && count.all() >= ENOUGH;
        }

        private static RequestCounts.ClassCounts of(RequestCounts requestCounts, String className) {
            return className.isEmpty() ? requestCounts.all() : requestCounts.of(className);
        }

        /**
         * Of a share of so many; one and a half more of each end guard against shares of nothing
         * and of all.
         */
        private static double variance(RequestCounts.ClassCounts count) {
            double share = (count.bad() + 1.5) / (count.all() + 3);
            return share * (1 - share) / count.all();
        }

        /** Worse than what anybody would call noise, and surely more than nothing. */
        boolean isWorse() {
            return estimate != null
                    && estimate.difference() > bound * 0.5
                    && estimate.isAbove(bound * 0.1, sure);
        }

        boolean isWell() {
            return estimate.isDownstream(bound, SURE_WELL);
        }

        String text(String word) {
            String more =
                    estimate == null
                            ? "unknown"
                            : inTime
                                    ? String.format(
                                            Locale.ROOT,
                                            "%+.0f%%",
                                            Math.expm1(estimate.difference()) * 100)
                                    : String.format(
                                            Locale.ROOT,
                                            "%+.1f points",
                                            estimate.difference() * 100);
            return word
                    + ", "
                    + more
                    + (inTime ? " " : " gone wrong ")
                    + what
                    + " beside unchanged nodes";
        }
    }
}
