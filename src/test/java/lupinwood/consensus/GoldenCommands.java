package lupinwood.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.Cordon;
import lupinwood.cluster.DisruptionLimits;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;
import lupinwood.cluster.Site;

/** Golden values: the commands of the log, and snapshots of the cluster state after them. */
final class GoldenCommands {
    static final NodeName N0 = new NodeName("n0");
    static final NodeName N1 = new NodeName("n1");
    static final NodeName N2 = new NodeName("n2");
    static final NodeName N3 = new NodeName("n3");
    static final NodeName N4 = new NodeName("n4");
    static final Site SITE = new Site("eu", "eu-1");
    static final Site OTHER_SITE = new Site("us", "us-2");
    static final Incarnation INCARNATION = new Incarnation(-6172840429334713771L);
    static final RequestCounts REQUEST_COUNTS =
            new RequestCounts(
                    List.of(
                            new RequestCounts.ClassCounts("quick", 120, 3, 2, 1, 12.0625),
                            new RequestCounts.ClassCounts("others", 1L << 40, 0, 0, 0, 1.0E-5)));

    /** In milliseconds since the epoch. */
    private static final long NOW = 1_790_000_000_000L;

    private static final long FIRST_TOKEN = 1_790_000_000_001L;
    private static final FencingToken STATUS_REPORTER_TOKEN = new FencingToken(FIRST_TOKEN);
    private static final FencingToken CONTROLLER_TOKEN = new FencingToken(FIRST_TOKEN + 1);
    private static final FencingToken PLANNER_TOKEN = new FencingToken(FIRST_TOKEN + 2);
    private static final FencingToken HEALTH_CHECK_TOKEN = new FencingToken(FIRST_TOKEN + 3);
    private static final FencingToken NO_TOKEN = new FencingToken(0);
    private static final String CONFIG_TEXT = "class \"a\" { limit <10 } // 'é' & =\n";

    private GoldenCommands() {}

    private static Map<String, Integer> slots(int first, int second) {
        Map<String, Integer> slots = new TreeMap<>();
        slots.put("place-a", first);
        slots.put("place-b", second);
        return slots;
    }

    private static Map<String, RequestCounts> past() {
        Map<String, RequestCounts> past = new TreeMap<>();
        past.put("n0", REQUEST_COUNTS);
        past.put("n1", RequestCounts.EMPTY);
        return past;
    }

    /**
     * Commands that create members, leases, a permit, a finished rollout and two capacity plans.
     */
    static List<ClusterCommand> beforeSnapshot() {
        return new ArrayList<>(
                List.of(
                        new ClusterCommand.Bootstrap(FIRST_TOKEN - 1),
                        new ClusterCommand.Join(N0, INCARNATION, SITE),
                        new ClusterCommand.Join(N1, new Incarnation(1), SITE),
                        new ClusterCommand.Join(N2, new Incarnation(2), OTHER_SITE),
                        new ClusterCommand.Join(N3, new Incarnation(3), OTHER_SITE),
                        new ClusterCommand.GrantLease(
                                DutyName.STATUS_REPORTER, N0, INCARNATION, NO_TOKEN),
                        new ClusterCommand.GrantLease(
                                DutyName.ROLLOUT_CONTROLLER, N1, new Incarnation(1), NO_TOKEN),
                        new ClusterCommand.GrantLease(
                                DutyName.PLANNER, N2, new Incarnation(2), NO_TOKEN),
                        new ClusterCommand.GrantLease(
                                DutyName.HEALTH_CHECK, N0, INCARNATION, NO_TOKEN),
                        new ClusterCommand.ReleaseLease(
                                DutyName.HEALTH_CHECK,
                                HEALTH_CHECK_TOKEN,
                                ClusterCommand.LeaseEnd.HANDED_ON),
                        new ClusterCommand.RecordStatus(STATUS_REPORTER_TOKEN, "4 nodes known"),
                        new ClusterCommand.GrantPermit(
                                "order-1", N3, "ann", NOW, DisruptionLimits.DEFAULT, List.of()),
                        new ClusterCommand.BeginRollout(
                                "order-2",
                                "ann",
                                Rollout.Kind.CONFIGURATION,
                                "d1",
                                CONFIG_TEXT,
                                true,
                                NOW + 1),
                        new ClusterCommand.AdvanceRollout(
                                CONTROLLER_TOKEN,
                                1,
                                1,
                                false,
                                List.of(N0, N1),
                                "all have checked it",
                                past(),
                                NOW + 2),
                        new ClusterCommand.FinishRollout(CONTROLLER_TOKEN, 1, true, "", NOW + 3),
                        new ClusterCommand.SetCapacityPlan(
                                PLANNER_TOKEN,
                                0,
                                slots(20, 10),
                                Map.of("eu/eu-1", Map.of("place-a", 1)),
                                Map.of("eu/eu-1", slots(7, 2)),
                                "first",
                                NOW + 4),
                        new ClusterCommand.SetCapacityPlan(
                                PLANNER_TOKEN,
                                1,
                                slots(20, 10),
                                Map.of("eu/eu-1", Map.of("place-a", 1)),
                                Map.of("us/us-2", slots(3, 2)),
                                "",
                                NOW + 5),
                        new ClusterCommand.Join(N4, new Incarnation(4), SITE),
                        new ClusterCommand.Leave(N4, new Incarnation(4))));
    }

    /**
     * Commands that finish a rollout of a program, give the health check duty to its next holder,
     * cordon a server, and retire capacity plans.
     */
    static List<ClusterCommand> afterSnapshot() {
        return List.of(
                new ClusterCommand.BeginRollout(
                        "order-3", "bob", Rollout.Kind.PROGRAM, "0.6", "", false, NOW + 10),
                new ClusterCommand.AdvanceRollout(
                        CONTROLLER_TOKEN, 2, 1, false, List.of(N2), "", null, NOW + 11),
                new ClusterCommand.FinishRollout(CONTROLLER_TOKEN, 2, true, "went well", NOW + 12),
                new ClusterCommand.GrantLease(
                        DutyName.HEALTH_CHECK, N1, new Incarnation(1), HEALTH_CHECK_TOKEN),
                new ClusterCommand.CordonServer("order-4", "server-1", "ann", 2, NOW + 13),
                new ClusterCommand.RetireCapacityPlans(2));
    }

    /**
     * Commands that leave a second configuration rollout unfinished and rolling back, and then
     * halt.
     */
    private static List<ClusterCommand> unfinishedRollout() {
        return List.of(
                new ClusterCommand.BeginRollout(
                        "order-5",
                        "bob",
                        Rollout.Kind.CONFIGURATION,
                        "d2",
                        CONFIG_TEXT + CONFIG_TEXT,
                        false,
                        NOW + 20),
                new ClusterCommand.AdvanceRollout(
                        CONTROLLER_TOKEN, 2, 1, false, List.of(N2, N0), "", past(), NOW + 21),
                new ClusterCommand.RollBack("order-6", 2, "bob", NOW + 22),
                new ClusterCommand.AdvanceRollout(
                        CONTROLLER_TOKEN, 2, 2, true, List.of(N2), "", null, NOW + 23),
                new ClusterCommand.SetHalt("order-7", true, "ann", NOW + 24));
    }

    static ClusterState clusterState(List<ClusterCommand> commands) {
        ClusterState clusterState = new ClusterState(16);
        for (ClusterCommand command : commands) {
            if (!clusterState.apply(command)) {
                throw new IllegalStateException(command + " was rejected");
            }
        }
        return clusterState;
    }

    static ClusterState.Snapshot fullSnapshot() {
        List<ClusterCommand> commands = beforeSnapshot();
        commands.addAll(unfinishedRollout());
        ClusterState.Snapshot snapshot = clusterState(commands).snapshot();
        return new ClusterState.Snapshot(
                snapshot.members(),
                snapshot.duties(),
                snapshot.lastToken(),
                snapshot.digest(),
                snapshot.commands(),
                snapshot.permits(),
                snapshot.lastPermit(),
                snapshot.haltedBy(),
                snapshot.completedOrders(),
                snapshot.history(),
                snapshot.rollouts(),
                List.of(new Cordon("server-1", "ann"), new Cordon("server-2", "bob")),
                snapshot.plans());
    }

    private static ClusterState.Snapshot snapshotOfAnOlderVersion() {
        ClusterState.Snapshot snapshot = clusterState(beforeSnapshot()).snapshot();
        return new ClusterState.Snapshot(
                snapshot.members(),
                snapshot.duties(),
                snapshot.lastToken(),
                snapshot.digest(),
                snapshot.commands(),
                snapshot.permits(),
                snapshot.lastPermit(),
                snapshot.haltedBy(),
                snapshot.completedOrders(),
                snapshot.history(),
                null,
                null,
                null);
    }

    private static GoldenForm<ClusterCommand> command(String file, ClusterCommand command) {
        return new GoldenForm<>(
                "command-" + file + ".json", command, CommandCodec::encode, CommandCodec::decode);
    }

    private static GoldenForm<ClusterState.Snapshot> snapshot(
            String file, ClusterState.Snapshot snapshot) {
        return new GoldenForm<>(
                "snapshot-" + file + ".json",
                snapshot,
                one -> String.join("", CommandCodec.encodeSnapshot(one).toArray(String[]::new)),
                text -> CommandCodec.decodeSnapshot(List.of(text)));
    }

    static List<GoldenForm<?>> forms() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        addSnapshots(forms);
        addMembersAndLeases(forms);
        addOperatorOrders(forms);
        addRolloutsAndPlans(forms);
        return forms;
    }

    private static void addSnapshots(List<GoldenForm<?>> forms) {
        forms.add(snapshot("full", fullSnapshot()));
        forms.add(snapshot("empty", new ClusterState(16).snapshot()));
        forms.add(snapshot("older-version", snapshotOfAnOlderVersion()));
    }

    private static void addMembersAndLeases(List<GoldenForm<?>> forms) {
        forms.add(command("found", new ClusterCommand.Bootstrap(1_790_000_000_000L)));
        forms.add(command("join", new ClusterCommand.Join(N0, INCARNATION, SITE)));
        forms.add(command("leave", new ClusterCommand.Leave(N0, INCARNATION)));
        forms.add(command("forget", new ClusterCommand.RemoveNode(N0)));
        forms.add(
                command(
                        "give",
                        new ClusterCommand.GrantLease(
                                DutyName.HEALTH_CHECK, N1, INCARNATION, new FencingToken(5))));
        int whyNumber = 0;
        for (ClusterCommand.LeaseEnd why : ClusterCommand.LeaseEnd.values()) {
            forms.add(
                    command(
                            "free-" + whyNumber++,
                            new ClusterCommand.ReleaseLease(
                                    DutyName.STATUS_REPORTER, new FencingToken(5), why)));
        }
        forms.add(
                command(
                        "keep",
                        new ClusterCommand.RecordStatus(STATUS_REPORTER_TOKEN, "3 nodes known")));
    }

    private static void addOperatorOrders(List<GoldenForm<?>> forms) {
        forms.add(
                command(
                        "allow",
                        new ClusterCommand.GrantPermit(
                                "order-1",
                                N3,
                                "ann <ann@example.org>",
                                NOW,
                                new DisruptionLimits(3, 0.25, 2, 0.5, 1, List.of(N0, N1)),
                                List.of(N2, N4))));
        forms.add(
                command(
                        "allow-minimal",
                        new ClusterCommand.GrantPermit(
                                "",
                                N3,
                                "",
                                0,
                                new DisruptionLimits(Integer.MAX_VALUE, 0.1, 0, 1.0E-7, 0, null),
                                List.of())));
        forms.add(command("back", new ClusterCommand.ReturnPermit(7, "seen well again", NOW)));
        forms.add(command("back-minimal", new ClusterCommand.ReturnPermit(7, null, 0)));
        forms.add(command("halt", new ClusterCommand.SetHalt("order-1", true, "ann", NOW)));
        forms.add(command("resume", new ClusterCommand.SetHalt("order-2", false, "ann", NOW)));
        forms.add(
                command(
                        "begin-configuration",
                        new ClusterCommand.BeginRollout(
                                "order-3",
                                "bob",
                                Rollout.Kind.CONFIGURATION,
                                "0123456789abcdef",
                                CONFIG_TEXT,
                                true,
                                NOW)));
        forms.add(
                command(
                        "begin-program",
                        new ClusterCommand.BeginRollout(
                                "order-4", "bob", Rollout.Kind.PROGRAM, "0.6", "", false, NOW)));
    }

    private static void addRolloutsAndPlans(List<GoldenForm<?>> forms) {
        forms.add(
                command(
                        "step",
                        new ClusterCommand.AdvanceRollout(
                                CONTROLLER_TOKEN,
                                3,
                                2,
                                true,
                                List.of(N0, N1),
                                "halted",
                                past(),
                                NOW)));
        forms.add(
                command(
                        "step-minimal",
                        new ClusterCommand.AdvanceRollout(
                                CONTROLLER_TOKEN, 3, 1, false, List.of(), "", null, 0)));
        forms.add(command("turn", new ClusterCommand.RollBack("order-5", 3, "ann", NOW)));
        forms.add(
                command(
                        "finish",
                        new ClusterCommand.FinishRollout(
                                CONTROLLER_TOKEN, 3, true, "went well", NOW)));
        forms.add(
                command(
                        "let-rest",
                        new ClusterCommand.CordonServer("order-6", "server-1", "ann", 2, NOW)));
        forms.add(
                command(
                        "end-rest",
                        new ClusterCommand.UncordonServer("order-7", "server-1", "ann", NOW)));
        forms.add(
                command(
                        "set-plan",
                        new ClusterCommand.SetCapacityPlan(
                                PLANNER_TOKEN,
                                4,
                                slots(20, 10),
                                Map.of("eu/eu-1", slots(1, 0)),
                                Map.of("us/us-2", slots(3, 2)),
                                "place-b is full",
                                NOW)));
        forms.add(
                command(
                        "set-plan-minimal",
                        new ClusterCommand.SetCapacityPlan(
                                PLANNER_TOKEN, 0, Map.of(), Map.of(), Map.of(), "", 0)));
        forms.add(command("retire", new ClusterCommand.RetireCapacityPlans(5)));
    }
}
