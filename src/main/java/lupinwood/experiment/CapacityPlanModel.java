package lupinwood.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.cluster.CapacityPlan;
import lupinwood.cluster.NodeName;

/**
 * All that can happen to shares of two zones at three places, small enough to be looked through
 * whole: plans that follow each other, words that are lost, late or come twice, leases that run out
 * at any moment, leaders that change. At no moment may what both nodes believe be more at a place
 * than it bears. Each rule is left out in turn, and that has to be found.
 */
final class CapacityPlanModel implements Experiment {
    /** A rule that may be left out. */
    private enum Without {
        NOTHING,
        SUM_OVER_LIVE_PLANS,
        WAIT_FOR_LEASES,
        WAIT_OF_A_NEW_LEADER,
        NEVER_BACK,
        ACKNOWLEDGEMENT_OF_OLDER
    }

    private static final int BEARS = 2;
    private static final int MOST_PLANS = 3;
    private static final int MOST_GRANTS = 3;
    private static final int MOST_LEADERS = 2;
    private static final List<String> PLACES = List.of("p0", "p1", "p2");
    private static final List<String> NODES = List.of("a", "b");
    private static final Map<String, Integer> BOUNDS =
            Map.of("p0", BEARS, "p1", BEARS, "p2", BEARS);
    private static final Map<String, String> ROSTER = Map.of("a", "z0", "b", "z1");
    private static final List<Map<String, Map<String, Integer>>> TABLES =
            List.of(
                    Map.of("z0", Map.of("p0", 2), "z1", Map.of("p1", 2)),
                    Map.of(), // what is taken is taken first
                    Map.of("z0", Map.of("p2", 2), "z1", Map.of("p0", 2)));

    /**
     * A word to a node, as long as its lease may last. Once that has run out it is gone here: who
     * leads may drop it then, and dropping it later would only allow less; one that comes after
     * that gives nothing.
     *
     * @param old told by a leader before, so that today's knows nothing of it
     */
    private record PlanStatement(int node, int plan, boolean came, boolean old) {
        int hashed() {
            return node + 2 * plan + 8 * (came ? 1 : 0) + 16 * (old ? 1 : 0);
        }
    }

    /**
     * @param tables the table of each plan so far
     * @param oldest the oldest live plan
     * @param heardA the newest plan that a node heard of
     * @param reportedA what today's leader heard a node say of that
     */
    private record State(
            List<Integer> tables,
            int oldest,
            List<PlanStatement> words,
            int heardA,
            int heardB,
            int reportedA,
            int reportedB,
            int leaders,
            boolean waited) {
        int heard(int node) {
            return node == 0 ? heardA : heardB;
        }

        int reported(int node) {
            return node == 0 ? reportedA : reportedB;
        }
    }

    private record Found(long states, int depth, String broken) {}

    @Override
    public Outcome run() {
        List<String> broken = new ArrayList<>();
        StringBuilder line = new StringBuilder("plan-model:");
        for (Without without : Without.values()) {
            Found found = search(without);
            line.append(
                    String.format(
                            Locale.ROOT,
                            "%s %s %d states%s",
                            without == Without.NOTHING ? "" : ",",
                            without == Without.NOTHING ? "all rules" : "without " + without,
                            found.states(),
                            found.broken() == null
                                    ? ""
                                    : " until broken after " + found.depth() + " steps"));
            if (without == Without.NOTHING && found.broken() != null) {
                broken.add(found.broken());
            } else if (without != Without.NOTHING && found.broken() == null) {
                broken.add("nothing found without " + without);
            }
        }
        return new Outcome(line + ", broken " + broken.size(), broken);
    }

    private static Found search(Without without) {
        State first = new State(List.of(), 1, List.of(), 0, 0, 0, 0, 1, true);
        Set<State> observed = new HashSet<>(Set.of(first));
        Deque<State> now = new ArrayDeque<>(List.of(first));
        for (int depth = 0; !now.isEmpty(); depth++) {
            Deque<State> next = new ArrayDeque<>();
            for (State state : now) {
                String over = overfull(state);
                if (over != null) {
                    return new Found(observed.size(), depth, over);
                }
                for (State after : after(state, without)) {
                    if (observed.add(after)) {
                        next.add(after);
                    }
                }
            }
            now = next;
        }
        return new Found(observed.size(), 0, null);
    }

    private static CapacityPlan plan(State state, int number) {
        return new CapacityPlan(number, ROSTER, TABLES.get(state.tables().get(number - 1)));
    }

    /** What both believe at this moment. */
    private static String overfull(State state) {
        Map<String, Integer> sums = new TreeMap<>();
        for (int node = 0; node < NODES.size(); node++) {
            int heard = state.heard(node);
            int of = node;
            boolean leased =
                    state.words().stream()
                            .anyMatch(
                                    word ->
                                            word.node() == of
                                                    && word.plan() == heard
                                                    && word.came());
            if (leased) {
                plan(state, heard)
                        .slotsOf(new NodeName(NODES.get(node)))
                        .forEach((place, may) -> sums.merge(place, may, Integer::sum));
            }
        }
        return PLACES.stream()
                .filter(place -> sums.getOrDefault(place, 0) > BEARS)
                .findFirst()
                .map(place -> place + " may be sent " + sums.get(place) + " in " + state)
                .orElse(null);
    }

    private static List<State> after(State s, Without without) {
        List<State> all = new ArrayList<>();
        plans(s, without, all);
        int newest = s.tables().size();
        for (int node = 0; node < NODES.size(); node++) {
            if (newest > 0 && s.words().size() < MOST_GRANTS) {
                all.add(words(s, with(s.words(), new PlanStatement(node, newest, false, false))));
            }
            int heard = s.heard(node);
            if (heard > s.reported(node)) {
                all.add(
                        new State(
                                s.tables(),
                                s.oldest(),
                                s.words(),
                                s.heardA(),
                                s.heardB(),
                                node == 0 ? heard : s.reportedA(),
                                node == 1 ? heard : s.reportedB(),
                                s.leaders(),
                                s.waited()));
            }
        }
        for (int i = 0; i < s.words().size(); i++) {
            word(s, i, without, all);
        }
        if (s.leaders() < MOST_LEADERS) {
            List<PlanStatement> old =
                    s.words().stream()
                            .map(
                                    word ->
                                            new PlanStatement(
                                                    word.node(), word.plan(), word.came(), true))
                            .toList();
            all.add(
                    new State(
                            s.tables(),
                            s.oldest(),
                            old,
                            s.heardA(),
                            s.heardB(),
                            0,
                            0,
                            s.leaders() + 1,
                            false));
        }
        boolean oldOver = s.words().stream().noneMatch(PlanStatement::old);
        if (!s.waited() && (oldOver || without == Without.WAIT_OF_A_NEW_LEADER)) {
            all.add(
                    new State(
                            s.tables(),
                            s.oldest(),
                            s.words(),
                            s.heardA(),
                            s.heardB(),
                            s.reportedA(),
                            s.reportedB(),
                            s.leaders(),
                            true));
        }
        retire(s, without, all);
        return all;
    }

    private static void plans(State s, Without without, List<State> all) {
        for (int table = 0; table < TABLES.size() && s.tables().size() < MOST_PLANS; table++) {
            List<Integer> tables = new ArrayList<>(s.tables());
            tables.add(table);
            State after =
                    new State(
                            List.copyOf(tables),
                            s.oldest(),
                            s.words(),
                            s.heardA(),
                            s.heardB(),
                            s.reportedA(),
                            s.reportedB(),
                            s.leaders(),
                            s.waited());
            List<CapacityPlan> live = new ArrayList<>();
            for (int number = s.oldest(); number <= tables.size(); number++) {
                live.add(plan(after, number));
            }
            if (without == Without.SUM_OVER_LIVE_PLANS
                    || CapacityPlan.findOverfullLocation(live, BOUNDS, Map.of()) == null) {
                all.add(after);
            }
        }
    }

    /** It comes, perhaps twice; its lease runs out, come or not. */
    private static void word(State s, int i, Without without, List<State> all) {
        PlanStatement word = s.words().get(i);
        int heard = s.heard(word.node());
        boolean newer = word.plan() >= heard || without == Without.NEVER_BACK;
        int then = newer ? word.plan() : heard;
        List<PlanStatement> came =
                set(s.words(), i, new PlanStatement(word.node(), word.plan(), true, word.old()));
        all.add(
                new State(
                        s.tables(),
                        s.oldest(),
                        came,
                        word.node() == 0 ? then : s.heardA(),
                        word.node() == 1 ? then : s.heardB(),
                        s.reportedA(),
                        s.reportedB(),
                        s.leaders(),
                        s.waited()));
        List<PlanStatement> left = new ArrayList<>(s.words());
        left.remove(i);
        all.add(words(s, List.copyOf(left)));
    }

    /**
     * As the lease manager does it: of what today's leader told, and nothing before it waited for
     * what others told.
     */
    private static void retire(State s, Without without, List<State> all) {
        if (!s.waited() || s.tables().size() <= s.oldest()) {
            return;
        }
        int oldest = s.tables().size();
        for (PlanStatement word : s.words()) {
            boolean acknowledged =
                    word.plan() < s.reported(word.node())
                            || (without == Without.ACKNOWLEDGEMENT_OF_OLDER
                                    && s.reported(word.node()) > 0);
            if (!word.old() && !acknowledged && without != Without.WAIT_FOR_LEASES) {
                oldest = Math.min(oldest, word.plan());
            }
        }
        if (oldest > s.oldest()) {
            all.add(
                    new State(
                            s.tables(),
                            oldest,
                            s.words(),
                            s.heardA(),
                            s.heardB(),
                            s.reportedA(),
                            s.reportedB(),
                            s.leaders(),
                            s.waited()));
        }
    }

    private static State words(State s, List<PlanStatement> words) {
        return new State(
                s.tables(),
                s.oldest(),
                words,
                s.heardA(),
                s.heardB(),
                s.reportedA(),
                s.reportedB(),
                s.leaders(),
                s.waited());
    }

    private static List<PlanStatement> with(List<PlanStatement> words, PlanStatement more) {
        List<PlanStatement> all = new ArrayList<>(words);
        all.add(more);
        return sorted(all);
    }

    private static List<PlanStatement> set(List<PlanStatement> words, int i, PlanStatement word) {
        List<PlanStatement> all = new ArrayList<>(words);
        all.set(i, word);
        return sorted(all);
    }

    /** In which order they were said means nothing. */
    private static List<PlanStatement> sorted(List<PlanStatement> words) {
        words.sort(Comparator.comparing(PlanStatement::hashed));
        return List.copyOf(words);
    }
}
