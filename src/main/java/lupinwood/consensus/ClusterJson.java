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
 * The JSON that voters store, and that nodes, voters and operators send each other. Each wire name
 * of a record component, a command or an enum constant is a literal in this class, so that renaming
 * a type, a component or a constant in Java changes no stored or sent byte. The wire names never
 * change: the storage directory of an earlier version has to stay readable, and nodes of two
 * versions have to understand each other. A new component gets a new name at the end of its
 * record's table.
 *
 * <p>Message envelopes have their literals in {@link ClusterNode}, {@link ClusterQuery} and {@link
 * ClusterBootstrap}; the field with a command's name has its literal in {@link CommandCodec}, and
 * the keys and maps of the storage directory have theirs in {@link RaftStorage}. MicroRaft's
 * messages and log entries have their literals in {@link RaftCodec}, which writes a membership
 * change's mode by MicroRaft's own name for it.
 *
 * <p>Thread-safe.
 */
public final class ClusterJson {
    private static final Map<Class<? extends ClusterCommand>, String> NAMES_BY_COMMAND =
            new HashMap<>();
    private static final Map<String, Class<? extends ClusterCommand>> COMMANDS_BY_NAME =
            new HashMap<>();
    private static final WireNames WIRE_NAMES = wireNames();
    private static final Gson GSON =
            new GsonBuilder()
                    .registerTypeAdapterFactory(WIRE_NAMES)
                    .addReflectionAccessFilter(
                            type -> ReflectionAccessFilter.FilterResult.BLOCK_ALL)
                    .create();

    private ClusterJson() {}

    /**
     * Converts the types that have wire names here, and rejects all other records, enums and
     * classes.
     */
    public static Gson gson() {
        return GSON;
    }

    /** Encodes a value as a part of a message; null becomes JSON's null. */
    static JsonElement toTree(Object value) {
        return GSON.toJsonTree(value);
    }

    /**
     * Decodes a value of a message or of the storage; JSON's null becomes null.
     *
     * @throws com.google.gson.JsonParseException if the JSON is no value of that type
     */
    public static <T> T read(JsonElement json, Class<T> type) {
        return GSON.fromJson(json, type);
    }

    /** The wire name of a command's type. */
    static String commandNameOf(ClusterCommand command) {
        String name = NAMES_BY_COMMAND.get(command.getClass());
        if (name == null) {
            throw new IllegalArgumentException(command.getClass() + " has no wire name");
        }
        return name;
    }

    /** The command type of that wire name; null for a command that only a newer version knows. */
    static Class<? extends ClusterCommand> commandTypeOf(String name) {
        return COMMANDS_BY_NAME.get(name);
    }

    /** The wire name of a constant. */
    static <E extends Enum<E>> String nameOf(E constant) {
        return WIRE_NAMES.nameOf(constant);
    }

    /**
     * The constant of that wire name.
     *
     * @throws IllegalArgumentException if there is none
     */
    static <E extends Enum<E>> E constantOf(Class<E> type, String name) {
        E constant = WIRE_NAMES.constantOf(type, name);
        if (constant == null) {
            throw new IllegalArgumentException("no constant has the wire name " + name);
        }
        return constant;
    }

    private static WireNames wireNames() {
        WireNames names = new WireNames();
        addValues(names);
        addHeartbeats(names);
        addSnapshots(names);
        addOrders(names);
        addMemberAndLeaseCommands(names);
        addOrderCommands(names);
        addRolloutAndPlanCommands(names);
        addConstants(names);
        return names;
    }

    private static void addCommand(
            WireNames names,
            Class<? extends ClusterCommand> type,
            String name,
            String... components) {
        NAMES_BY_COMMAND.put(type, name);
        COMMANDS_BY_NAME.put(name, type);
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
        names.components(HeartbeatReply.DesiredState.class, "runs", "checks", "busy", "rests");
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
        addCommand(names, ClusterCommand.Bootstrap.class, "Found", "above");
        addCommand(names, ClusterCommand.Join.class, "Join", "name", "life", "site");
        addCommand(names, ClusterCommand.Leave.class, "Leave", "name", "life");
        addCommand(names, ClusterCommand.RemoveNode.class, "Forget", "name");
        addCommand(names, ClusterCommand.GrantLease.class, "Give", "duty", "heir", "life", "after");
        addCommand(names, ClusterCommand.ReleaseLease.class, "Free", "duty", "token", "why");
        addCommand(names, ClusterCommand.RecordStatus.class, "Keep", "token", "digest");
    }

    private static void addOrderCommands(WireNames names) {
        addCommand(
                names,
                ClusterCommand.GrantPermit.class,
                "Allow",
                "order",
                "node",
                "by",
                "atMillis",
                "rules",
                "seenOut");
        addCommand(names, ClusterCommand.ReturnPermit.class, "Back", "permit", "why", "atMillis");
        addCommand(
                names, ClusterCommand.SetHalt.class, "Halt", "order", "halted", "by", "atMillis");
        addCommand(
                names,
                ClusterCommand.CordonServer.class,
                "LetRest",
                "order",
                "server",
                "by",
                "most",
                "atMillis");
        addCommand(
                names,
                ClusterCommand.UncordonServer.class,
                "EndRest",
                "order",
                "server",
                "by",
                "atMillis");
    }

    private static void addRolloutAndPlanCommands(WireNames names) {
        addCommand(
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
        addCommand(
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
        addCommand(
                names, ClusterCommand.RollBack.class, "Turn", "order", "release", "by", "atMillis");
        addCommand(
                names,
                ClusterCommand.FinishRollout.class,
                "Finish",
                "token",
                "release",
                "done",
                "why",
                "atMillis");
        addCommand(
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
        addCommand(names, ClusterCommand.RetireCapacityPlans.class, "Retire", "below");
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
