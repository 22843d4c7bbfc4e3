package lupinwood.consensus;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.ReflectionAccessFilter;
import java.util.HashMap;
import java.util.Map;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.CapacityPlan;
import lupinwood.cluster.CapacityPlans;
import lupinwood.cluster.ClusterCommand;
import lupinwood.cluster.ClusterState;
import lupinwood.cluster.Cordon;
import lupinwood.cluster.DisruptionLimits;
import lupinwood.cluster.DisruptionPermit;
import lupinwood.cluster.DutyName;
import lupinwood.cluster.FencingToken;
import lupinwood.cluster.HealthCheckResult;
import lupinwood.cluster.Heartbeat;
import lupinwood.cluster.HeartbeatReply;
import lupinwood.cluster.Incarnation;
import lupinwood.cluster.Lease;
import lupinwood.cluster.NodeCondition;
import lupinwood.cluster.NodeName;
import lupinwood.cluster.NodeReport;
import lupinwood.cluster.NodeStatus;
import lupinwood.cluster.NodeView;
import lupinwood.cluster.RequestCounts;
import lupinwood.cluster.Rollout;
import lupinwood.cluster.Rollouts;
import lupinwood.cluster.Site;

/**
 * The JSON that voters keep, and that nodes, voters and operators send each other. Each name in it
 * stands here as a literal, so that a type, a component or a constant may be called otherwise in
 * Java without a byte of what is stored or sent becoming another. These names never change: a
 * folder of an earlier version has to be read, and nodes of two versions have to understand each
 * other. A new component comes with a new name at the end of its record's table.
 *
 * <p>For any thread.
 */
public final class ClusterJson {
    private static final Map<Class<? extends ClusterCommand>, String> KINDS = new HashMap<>();
    private static final Map<String, Class<? extends ClusterCommand>> COMMANDS = new HashMap<>();
    private static final WireNames NAMES = names();
    private static final Gson GSON =
            new GsonBuilder()
                    .registerTypeAdapterFactory(NAMES)
                    .addReflectionAccessFilter(
                            type -> ReflectionAccessFilter.FilterResult.BLOCK_ALL)
                    .create();

    private ClusterJson() {}

    /** Writes and reads all that has names here, and refuses other records, enums and classes. */
    public static Gson gson() {
        return GSON;
    }

    /** A value as a part of a message; JSON's null for null. */
    static JsonElement tree(Object value) {
        return GSON.toJsonTree(value);
    }

    /**
     * A value out of a message or a folder; null for JSON's null.
     *
     * @throws com.google.gson.JsonParseException where it can't be one of that type
     */
    public static <T> T read(JsonElement text, Class<T> type) {
        return GSON.fromJson(text, type);
    }

    /** The name of a command's kind, as the log has it. */
    static String kindOf(ClusterCommand command) {
        String kind = KINDS.get(command.getClass());
        if (kind == null) {
            throw new IllegalArgumentException(command.getClass() + " has no name in the log");
        }
        return kind;
    }

    /** The kind of command of that name; null for one of a newer version. */
    static Class<? extends ClusterCommand> commandOf(String kind) {
        return COMMANDS.get(kind);
    }

    /** The name by which a constant is sent. */
    static <E extends Enum<E>> String nameOf(E constant) {
        return NAMES.nameOf(constant);
    }

    /**
     * The constant that is sent by that name.
     *
     * @throws IllegalArgumentException where there is none
     */
    static <E extends Enum<E>> E constantOf(Class<E> type, String name) {
        E constant = NAMES.constantOf(type, name);
        if (constant == null) {
            throw new IllegalArgumentException("no constant is sent as " + name);
        }
        return constant;
    }

    private static WireNames names() {
        WireNames names = new WireNames();
        addValues(names);
        addHeartbeats(names);
        addSnapshots(names);
        addOrders(names);
        addMemberAndLeaseCommands(names);
        addOrderCommands(names);
        addReleaseAndPlanCommands(names);
        addConstants(names);
        return names;
    }

    private static void command(
            WireNames names,
            Class<? extends ClusterCommand> type,
            String kind,
            String... components) {
        KINDS.put(type, kind);
        COMMANDS.put(kind, type);
        names.components(type.asSubclass(Record.class), components);
    }

    private static void addValues(WireNames names) {
        names.components(NodeName.class, "text");
        names.components(Incarnation.class, "number");
        names.components(Site.class, "region", "zone");
        names.components(DutyName.class, "text");
        names.components(FencingToken.class, "number");
        names.components(Lease.class, "duty", "token");
        names.components(HealthCheckResult.class, "server", "well", "token", "age");
        names.components(Cordon.class, "server", "by");
        names.components(DisruptionPermit.class, "number", "node", "life", "site", "by");
        names.components(
                DisruptionLimits.class,
                "most",
                "share",
                "zoneMost",
                "zoneShare",
                "leastIn",
                "voters");
        names.components(CapacityPlan.class, "number", "roster", "slots");
        names.components(
                Rollout.class,
                "number",
                "kind",
                "from",
                "to",
                "by",
                "backsOnHalt",
                "turnedAt",
                "steps",
                "given");
        names.components(NanoDuration.class, "nanos");
        names.components(RequestCounts.class, "counts");
        names.components(
                RequestCounts.ClassCounts.class,
                "track",
                "satisfied",
                "late",
                "bounced",
                "abandoned",
                "seconds");
    }

    private static void addHeartbeats(WireNames names) {
        names.components(
                Heartbeat.class,
                "version",
                "name",
                "life",
                "site",
                "condition",
                "number",
                "holds",
                "handsOn",
                "failsAt",
                "leftOut",
                "found",
                "report");
        names.components(
                NodeReport.class, "program", "runs", "checked", "emptied", "plan", "uses", "tally");
        names.components(NodeReport.ConfigCheck.class, "digest", "fits", "restarts", "why");
        names.components(
                NodeReport.LocationUse.class,
                "place",
                "out",
                "asked",
                "ended",
                "failed",
                "seconds",
                "leftOut");
        names.components(
                HeartbeatReply.class,
                "number",
                "taken",
                "leader",
                "trouble",
                "lease",
                "grants",
                "found",
                "leave",
                "wanted",
                "share",
                "others");
        names.components(HeartbeatReply.CapacityShare.class, "plan", "slots");
        names.components(HeartbeatReply.Wanted.class, "runs", "checks", "busy", "rests");
    }

    private static void addSnapshots(WireNames names) {
        names.components(ClusterState.Member.class, "name", "life", "site", "in");
        names.components(ClusterState.DutyLease.class, "duty", "holder", "life", "token");
        names.components(ClusterState.CompletedOrder.class, "order", "text");
        names.components(ClusterState.HistoryEntry.class, "atMillis", "text");
        names.components(
                ClusterState.Snapshot.class,
                "members",
                "duties",
                "lastToken",
                "digest",
                "deeds",
                "permits",
                "lastPermit",
                "haltedBy",
                "done",
                "history",
                "releases",
                "rests",
                "plans");
        names.components(Rollouts.ConfigText.class, "digest", "text");
        names.components(
                Rollouts.Snapshot.class, "good", "program", "next", "open", "last", "past");
        names.components(CapacityPlans.Snapshot.class, "live", "bears", "alone", "last");
    }

    private static void addOrders(WireNames names) {
        names.components(NodeView.class, "name", "life", "site", "standing", "heard", "report");
        names.components(
                RaftReplica.ReplicaView.class,
                "self",
                "leader",
                "term",
                "seen",
                "duties",
                "digest",
                "deeds",
                "permits",
                "haltedBy",
                "history",
                "release",
                "good",
                "rests",
                "past",
                "members",
                "plans",
                "lastPlan");
        names.components(
                RaftReplica.OperatorOrder.class, "id", "what", "node", "by", "wish", "server");
        names.components(RaftReplica.RolloutRequest.class, "kind", "to", "text", "backsOnHalt");
        names.components(RaftReplica.OrderResult.class, "done", "text");
    }

    private static void addMemberAndLeaseCommands(WireNames names) {
        command(names, ClusterCommand.Bootstrap.class, "Found", "above");
        command(names, ClusterCommand.Join.class, "Join", "name", "life", "site");
        command(names, ClusterCommand.Leave.class, "Leave", "name", "life");
        command(names, ClusterCommand.RemoveNode.class, "Forget", "name");
        command(names, ClusterCommand.GrantLease.class, "Give", "duty", "heir", "life", "after");
        command(names, ClusterCommand.ReleaseLease.class, "Free", "duty", "token", "why");
        command(names, ClusterCommand.RecordStatus.class, "Keep", "token", "digest");
    }

    private static void addOrderCommands(WireNames names) {
        command(
                names,
                ClusterCommand.GrantPermit.class,
                "Allow",
                "order",
                "node",
                "by",
                "atMillis",
                "rules",
                "seenOut");
        command(names, ClusterCommand.ReturnPermit.class, "Back", "permit", "why", "atMillis");
        command(names, ClusterCommand.SetHalt.class, "Halt", "order", "halted", "by", "atMillis");
        command(
                names,
                ClusterCommand.CordonServer.class,
                "LetRest",
                "order",
                "server",
                "by",
                "most",
                "atMillis");
        command(
                names,
                ClusterCommand.UncordonServer.class,
                "EndRest",
                "order",
                "server",
                "by",
                "atMillis");
    }

    private static void addReleaseAndPlanCommands(WireNames names) {
        command(
                names,
                ClusterCommand.BeginRollout.class,
                "Begin",
                "order",
                "by",
                "kind",
                "to",
                "text",
                "backsOnHalt",
                "atMillis");
        command(
                names,
                ClusterCommand.AdvanceRollout.class,
                "Step",
                "token",
                "release",
                "step",
                "back",
                "nodes",
                "why",
                "past",
                "atMillis");
        command(names, ClusterCommand.RollBack.class, "Turn", "order", "release", "by", "atMillis");
        command(
                names,
                ClusterCommand.FinishRollout.class,
                "Finish",
                "token",
                "release",
                "done",
                "why",
                "atMillis");
        command(
                names,
                ClusterCommand.SetCapacityPlan.class,
                "SetPlan",
                "token",
                "after",
                "bears",
                "alone",
                "slots",
                "why",
                "atMillis");
        command(names, ClusterCommand.RetireCapacityPlans.class, "Retire", "below");
    }

    private static void addConstants(WireNames names) {
        names.constants(
                NodeCondition.class,
                Map.of(
                        NodeCondition.COLD,
                        "COLD",
                        NodeCondition.WARM,
                        "WARM",
                        NodeCondition.LEAVING,
                        "LEAVING",
                        NodeCondition.GONE,
                        "GONE"));
        names.constants(
                NodeStatus.class,
                Map.of(
                        NodeStatus.UP,
                        "UP",
                        NodeStatus.WARM,
                        "WARM",
                        NodeStatus.LEAVING,
                        "LEAVING",
                        NodeStatus.OUT,
                        "OUT",
                        NodeStatus.UNKNOWN,
                        "UNKNOWN"));
        names.constants(
                Rollout.Kind.class,
                Map.of(
                        Rollout.Kind.CONFIGURATION,
                        "CONFIGURATION",
                        Rollout.Kind.PROGRAM,
                        "PROGRAM"));
        names.constants(
                ClusterCommand.LeaseEnd.class,
                Map.of(
                        ClusterCommand.LeaseEnd.LAPSED,
                        "LAPSED",
                        ClusterCommand.LeaseEnd.HANDED_ON,
                        "HANDED_ON",
                        ClusterCommand.LeaseEnd.FAILED,
                        "FAILED",
                        ClusterCommand.LeaseEnd.WENT,
                        "WENT"));
        names.constants(
                ClusterBootstrap.State.class,
                Map.of(
                        ClusterBootstrap.State.EMPTY,
                        "EMPTY",
                        ClusterBootstrap.State.FOUNDS,
                        "FOUNDS",
                        ClusterBootstrap.State.VOTES,
                        "VOTES"));
    }
}
