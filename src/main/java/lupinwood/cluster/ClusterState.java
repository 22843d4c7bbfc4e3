package lupinwood.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state machine that the consensus group replicates. The same commands in the same order give
 * the same state on every replica, so it uses neither a clock nor random numbers: the {@link
 * LeaseManager} of the leader decides whether a lease has expired.
 *
 * <p>Members, leases, permits, rollouts, capacity plans and the operator log have classes of their
 * own. This class passes each command to the one concerned, keeps the cordons, the halt and the
 * status, and checks the conditions that span several.
 *
 * <p>Not thread-safe: owned by the task loop of the replica.
 */
public final class ClusterState {
    /** A node that joined; {@code active} is true until it leaves. */
    public record Member(NodeName name, Incarnation incarnation, Site site, boolean active) {}

    /**
     * A duty and its lease.
     *
     * @param holder null while there is none
     * @param incarnation of the holder; null while there is none
     * @param token the one with which the lease was last granted
     */
    public record DutyLease(
            DutyName duty, NodeName holder, Incarnation incarnation, FencingToken token) {
        /** Whether it has no holder. */
        public boolean isFree() {
            return holder == null;
        }

        /** Whether this node holds it in this incarnation. */
        public boolean isHeldBy(NodeName name, Incarnation nodeIncarnation) {
            return holder != null && holder.equals(name) && incarnation.equals(nodeIncarnation);
        }
    }

    /** A completed operator order and its result. */
    public record CompletedOrder(String order, String result) {}

    /** An operator's action or its consequence; {@code atMillis} is Unix time at the leader. */
    public record HistoryEntry(long atMillis, String text) {}

    /** The whole state as it is stored and sent. */
    public record Snapshot(
            List<Member> members,
            List<DutyLease> duties,
            long lastToken,
            String digest,
            long commands,
            List<DisruptionPermit> permits,
            long lastPermit,
            String haltedBy,
            List<CompletedOrder> completedOrders,
            List<HistoryEntry> history,
            Rollouts.Snapshot rollouts,
            List<Cordon> cordons,
            CapacityPlans.Snapshot plans) {}

    private final MemberRegistry members;
    private final DutyLeases dutyLeases = new DutyLeases();
    private final DisruptionPermits permits = new DisruptionPermits();
    private final Rollouts rollouts = new Rollouts();
    private final CapacityPlans capacityPlans = new CapacityPlans();
    private final TreeMap<String, Cordon> cordons = new TreeMap<>();
    private final OperatorLog operatorLog = new OperatorLog();
    private final CommandHandler handler = new CommandHandler();

    /** Who ordered the halt; empty while nothing is halted. */
    private String haltedBy = "";

    private String digest = "";
    private long commandCount;

    /** Creates an empty state of {@code maxMembers} nodes at most; see {@link #isFull}. */
    public ClusterState(int maxMembers) {
        members = new MemberRegistry(maxMembers);
    }

    /** Replaces the state. In an older version's snapshot the last three parts may be null. */
    public void restore(Snapshot snapshot) {
        members.restore(snapshot.members());
        dutyLeases.restore(snapshot.duties(), snapshot.lastToken());
        digest = snapshot.digest();
        commandCount = snapshot.commands();
        permits.restore(snapshot.permits(), snapshot.lastPermit());
        haltedBy = snapshot.haltedBy();
        operatorLog.restore(snapshot.completedOrders(), snapshot.history());
        rollouts.restore(snapshot.rollouts()); // keeps the present rollouts if null
        capacityPlans.restore(snapshot.plans()); // drops only the live plans if null
        cordons.clear();
        if (snapshot.cordons() != null) { // null in the snapshot of an older version
            snapshot.cordons().forEach(cordon -> cordons.put(cordon.server(), cordon));
        }
    }

    /** The whole state. */
    public Snapshot snapshot() {
        return new Snapshot(
                new ArrayList<>(members.all()),
                new ArrayList<>(dutyLeases.all()),
                dutyLeases.lastToken(),
                digest,
                commandCount,
                new ArrayList<>(permits.all()),
                permits.lastNumber(),
                haltedBy,
                operatorLog.orders(),
                operatorLog.history(),
                rollouts.snapshot(),
                new ArrayList<>(cordons.values()),
                capacityPlans.snapshot());
    }

    /** Applies a command; if its conditions don't hold, only counts it and returns false. */
    public boolean apply(ClusterCommand command) {
        commandCount++;
        return command.applyTo(handler);
    }

    /** Applies commands; an operator order recorded as completed is accepted without a change. */
    private final class CommandHandler implements ClusterCommand.Handler {
        @Override
        public boolean bootstrap(ClusterCommand.Bootstrap command) {
            return dutyLeases.bootstrap(command);
        }

        @Override
        public boolean join(ClusterCommand.Join command) {
            return members.join(command);
        }

        @Override
        public boolean leave(ClusterCommand.Leave command) {
            return members.leave(command);
        }

        @Override
        public boolean removeNode(ClusterCommand.RemoveNode command) {
            if (dutyLeases.holdsAnyDuty(command.name()) || !members.remove(command.name())) {
                return false;
            }
            permits.removeAllOf(command.name());
            capacityPlans.removeNode(command.name());
            return true;
        }

        @Override
        public boolean grantLease(ClusterCommand.GrantLease command) {
            return dutyLeases.grant(command, members.member(command.heir()));
        }

        @Override
        public boolean releaseLease(ClusterCommand.ReleaseLease command) {
            return dutyLeases.release(command);
        }

        @Override
        public boolean recordStatus(ClusterCommand.RecordStatus command) {
            if (!dutyLeases.isHeldUnder(DutyName.STATUS_REPORTER, command.token())) {
                return false;
            }
            digest = command.digest();
            return true;
        }

        @Override
        public boolean grantPermit(ClusterCommand.GrantPermit command) {
            if (operatorLog.isCompleted(command.order())) {
                return true;
            }
            ClusterState.Member member = members.member(command.node());
            if (!haltedBy.isEmpty()
                    || member == null
                    || permits.hasPermit(command.node())
                    || permits.isFull()
                    || !budget(command.limits(), command.unavailableNodes())
                            .reasonAgainst(command.node())
                            .isEmpty()) {
                return false;
            }
            DisruptionPermit permit = permits.grant(member, command.by());
            String name = "permit " + permit.number();
            operatorLog.complete(command.order(), name + " for " + permit.node());
            operatorLog.addHistory(
                    command.atMillis(),
                    command.by() + " let " + permit.node() + " go under " + name);
            return true;
        }

        @Override
        public boolean returnPermit(ClusterCommand.ReturnPermit command) {
            DisruptionPermit permit = permits.remove(command.permit());
            if (permit == null) {
                return false;
            }
            String name = "permit " + command.permit() + " of " + permit.node();
            operatorLog.addHistory(command.atMillis(), name + " ended: " + command.why());
            return true;
        }

        @Override
        public boolean setHalt(ClusterCommand.SetHalt command) {
            if (!operatorLog.isCompleted(command.order())) {
                haltedBy = command.halted() ? command.by() : "";
                String result = command.halted() ? "halted" : "resumed";
                operatorLog.complete(command.order(), result);
                operatorLog.addHistory(command.atMillis(), command.by() + " " + result);
            }
            return true;
        }

        @Override
        public boolean beginRollout(ClusterCommand.BeginRollout command) {
            if (operatorLog.isCompleted(command.order())) {
                return true;
            }
            if (!haltedBy.isEmpty() || !cordons.isEmpty() || !rollouts.begin(command)) {
                return false;
            }
            Rollout rollout = rollouts.rollout();
            operatorLog.complete(command.order(), rollout + " of " + command.to());
            String what =
                    command.kind() == Rollout.Kind.PROGRAM ? "the program " : "the configuration ";
            operatorLog.addHistory(
                    command.atMillis(),
                    command.by() + " began " + rollout + " of " + what + command.to());
            return true;
        }

        @Override
        public boolean advanceRollout(ClusterCommand.AdvanceRollout command) {
            if (!dutyLeases.isHeldUnder(DutyName.ROLLOUT_CONTROLLER, command.token())
                    || !haltedBy.isEmpty()
                    || !rollouts.advance(command)) {
                return false;
            }
            operatorLog.addHistory(command.atMillis(), rollouts.rollout() + describeWave(command));
            return true;
        }

        private static String describeWave(ClusterCommand.AdvanceRollout command) {
            int count = command.nodes().size();
            String direction = command.back() ? " taken back from " : " given to ";
            String first = command.nodes().get(0) + (count == 1 ? "" : " first");
            String nodes = count + (count == 1 ? " node, " : " nodes, ");
            return direction + nodes + first + OperatorLog.reasonSuffix(command.why());
        }

        /**
         * Starts the rollback and ends the present halt, whoever ordered the halt, because it must
         * not delay the rollback. A later halt stops the rollback's waves as well.
         */
        @Override
        public boolean rollBack(ClusterCommand.RollBack command) {
            if (operatorLog.isCompleted(command.order())) {
                return true;
            }
            if (!rollouts.rollBack(command.rollout())) {
                return false;
            }
            haltedBy = "";
            operatorLog.complete(command.order(), rollouts.rollout() + " turns back");
            operatorLog.addHistory(
                    command.atMillis(), command.by() + " turned " + rollouts.rollout() + " back");
            return true;
        }

        @Override
        public boolean finishRollout(ClusterCommand.FinishRollout command) {
            Rollout rollout = rollouts.rollout();
            if (!dutyLeases.isHeldUnder(DutyName.ROLLOUT_CONTROLLER, command.token())
                    || !rollouts.finish(command)) {
                return false;
            }
            String result =
                    command.done() ? " is done" : " has ended, nodes run what they ran before";
            operatorLog.addHistory(
                    command.atMillis(), rollout + result + OperatorLog.reasonSuffix(command.why()));
            return true;
        }

        @Override
        public boolean cordonServer(ClusterCommand.CordonServer command) {
            if (operatorLog.isCompleted(command.order())) {
                return true;
            }
            if (!reasonAgainstCordon(command.server(), command.most()).isEmpty()) {
                return false;
            }
            cordons.put(command.server(), new Cordon(command.server(), command.by()));
            operatorLog.complete(command.order(), command.server() + " rests");
            operatorLog.addHistory(
                    command.atMillis(), command.by() + " let " + command.server() + " rest");
            return true;
        }

        @Override
        public boolean uncordonServer(ClusterCommand.UncordonServer command) {
            if (operatorLog.isCompleted(command.order())) {
                return true;
            }
            if (cordons.remove(command.server()) == null) {
                return false;
            }
            operatorLog.complete(command.order(), command.server() + " is back");
            operatorLog.addHistory(
                    command.atMillis(), command.by() + " took " + command.server() + " back");
            return true;
        }

        @Override
        public boolean setCapacityPlan(ClusterCommand.SetCapacityPlan command) {
            if (!dutyLeases.isHeldUnder(DutyName.PLANNER, command.token())
                    || !capacityPlans.add(command, members.all())) {
                return false;
            }
            if (!command.why().isEmpty()) {
                operatorLog.addHistory(
                        command.atMillis(),
                        "plan " + capacityPlans.lastNumber() + ": " + command.why());
            }
            return true;
        }

        @Override
        public boolean retireCapacityPlans(ClusterCommand.RetireCapacityPlans command) {
            return capacityPlans.retireBefore(command.beforePlan());
        }
    }

    private DisruptionBudget budget(DisruptionLimits limits, Collection<NodeName> unavailable) {
        return new DisruptionBudget(limits, members.all(), permits.all(), unavailable);
    }

    /** Why a rollout must not begin now; empty where it may. */
    public String reasonAgainstRollout(Rollout.Kind kind, String to, String text) {
        if (!haltedBy.isEmpty()) {
            return haltedBy + " halted";
        }
        return !cordons.isEmpty()
                ? cordons.firstKey() + " is cordoned and must be uncordoned first"
                : rollouts.reasonAgainst(kind, to, text);
    }

    /**
     * Why a server must not be cordoned now; empty where it may.
     *
     * @param most servers that may be cordoned at once
     */
    public String reasonAgainstCordon(String server, int most) {
        if (!haltedBy.isEmpty()) {
            return haltedBy + " halted";
        }
        Rollout rollout = rollouts.rollout();
        if (rollout != null) {
            return rollout + " by " + rollout.by() + " is in progress and must end first";
        }
        if (cordons.containsKey(server)) {
            return server + " is already cordoned";
        }
        return cordons.size() >= most
                ? cordons.keySet() + " are cordoned, and at most " + most + " may be"
                : "";
    }

    /** Why a node must not get a permit now, apart from the bound on permits; empty if it may. */
    public String reasonAgainstPermit(
            NodeName node, DisruptionLimits limits, Collection<NodeName> unavailable) {
        if (!haltedBy.isEmpty()) {
            return haltedBy + " halted";
        }
        return permits.hasPermit(node)
                ? node + " already has a permit"
                : budget(limits, unavailable).reasonAgainst(node);
    }

    /** The newest capacity plan; null before the first. */
    public CapacityPlan newestPlan() {
        return capacityPlans.newest();
    }

    /** All capacity plans that some node may still follow, the oldest first. */
    public List<CapacityPlan> livePlans() {
        return Collections.unmodifiableList(capacityPlans.live());
    }

    /** The number of the newest capacity plan. */
    public long lastPlanNumber() {
        return capacityPlans.lastNumber();
    }

    /** The cordoned servers. */
    public Collection<Cordon> cordons() {
        return Collections.unmodifiableCollection(cordons.values());
    }

    /** The rollout in progress; null while there is none. */
    public Rollout rollout() {
        return rollouts.rollout();
    }

    /** The digest of the shared configuration that nodes run outside a rollout; empty for none. */
    public String goodConfigDigest() {
        return rollouts.goodDigest();
    }

    /** Request counts by node name, of the observation before the present rollout's first wave. */
    public Map<String, RequestCounts> baselineCounts() {
        return rollouts.baselineCounts();
    }

    /** What a node is to run, and which servers are cordoned. */
    public HeartbeatReply.DesiredState desiredState(NodeName node) {
        return new HeartbeatReply.DesiredState(
                rollouts.wantedDigest(node),
                rollouts.digestToCheck(),
                rollouts.rollout() != null,
                List.copyOf(cordons.keySet()));
    }

    /** The program version that a node is to be started with; empty where any will do. */
    public String wantedProgram(NodeName node) {
        return rollouts.wantedProgram(node);
    }

    /** The shared configuration of a digest; null where it isn't stored. */
    public String configText(String digest) {
        return rollouts.text(digest);
    }

    /** The result of a completed order; null for any other. */
    public String orderResult(String order) {
        return operatorLog.result(order);
    }

    /** The permits in force. */
    public Collection<DisruptionPermit> permits() {
        return permits.all();
    }

    /** Who ordered the halt; empty while nothing is halted. */
    public String haltedBy() {
        return haltedBy;
    }

    /** What operators did and what followed, the oldest first. */
    public List<HistoryEntry> history() {
        return operatorLog.history();
    }

    /** Whether Bootstrap was applied; before that, the lease manager proposes nothing else. */
    public boolean isBootstrapped() {
        return dutyLeases.isBootstrapped();
    }

    /** Whether no further node can join: the number is at its bound, and no node has left. */
    public boolean isFull() {
        return members.isFull();
    }

    /** Null if there is no such node, or it was removed. */
    public Member member(NodeName name) {
        return members.member(name);
    }

    /** The members, and the nodes that left and were not removed since, ordered by name. */
    public Collection<Member> members() {
        return members.all();
    }

    /** Never null: a duty that was never granted is free, under token 0. */
    public DutyLease duty(DutyName duty) {
        return dutyLeases.duty(duty);
    }

    /** All duties that were ever granted. */
    public Collection<DutyLease> duties() {
        return dutyLeases.all();
    }

    /** What the status reporter last collected. */
    public String digest() {
        return digest;
    }

    /** How many commands were passed to {@link #apply}, including rejected ones. */
    public long commandCount() {
        return commandCount;
    }
}
