package lupinwood.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the fleet has agreed on: its members, and who holds which duty under which token. The same
 * commands in the same order give the same book everywhere. It knows no time: whether a lease has
 * run out is the lease manager's to reckon.
 */
public final class ClusterState {
    /**
     * A node that came.
     *
     * @param in whether it has come and not gone
     */
    public record Member(NodeName name, Incarnation incarnation, Site site, boolean in) {}

    /**
     * A duty.
     *
     * @param holder null while it is nobody's
     * @param incarnation of the holder
     * @param token the one it was last given under
     */
    public record DutyLease(
            DutyName duty, NodeName holder, Incarnation incarnation, FencingToken token) {
        public boolean isFree() {
            return holder == null;
        }

        public boolean isBy(NodeName name, Incarnation ofLife) {
            return holder != null && holder.equals(name) && incarnation.equals(ofLife);
        }
    }

    /** An operator's order that was carried out, with what it came to. */
    public record CompletedOrder(String order, String text) {}

    /** What operators did, and what followed; the time is the wall clock of who led. */
    public record HistoryEntry(long atMillis, String text) {}

    /** The whole book, as it is kept and sent. */
    public record Snapshot(
            List<Member> members,
            List<DutyLease> duties,
            long lastToken,
            String digest,
            long commands,
            List<DisruptionPermit> permits,
            long lastPermit,
            String haltedBy,
            List<CompletedOrder> done,
            List<HistoryEntry> history,
            Rollouts.Snapshot rollouts,
            List<Cordon> cordons,
            CapacityPlans.Snapshot plans) {}

    private static final int MOST_DUTIES = 64;
    private static final int MOST_PERMITS = 1024;

    /** Orders that may be repeated, and lines of history. */
    private static final int MAX_RETAINED = 256;

    private final int mostMembers;
    private final TreeMap<NodeName, Member> members = new TreeMap<>();
    private final TreeMap<DutyName, DutyLease> duties = new TreeMap<>();
    private final TreeMap<Long, DisruptionPermit> permits = new TreeMap<>();
    private final Rollouts rollouts = new Rollouts();
    private final CapacityPlans plans = new CapacityPlans();
    private final TreeMap<String, Cordon> cordons = new TreeMap<>();
    private final ArrayDeque<CompletedOrder> done = new ArrayDeque<>();
    private final ArrayDeque<HistoryEntry> history = new ArrayDeque<>();
    private long lastPermit;

    /** Who halted; empty while nothing is. */
    private String haltedBy = "";

    private long lastToken;
    private String digest = "";
    private long commands;

    public ClusterState(int mostMembers) {
        this.mostMembers = mostMembers;
    }

    /** Takes over a whole page in the place of all it had. */
    public void open(Snapshot snapshot) {
        members.clear();
        snapshot.members().forEach(member -> members.put(member.name(), member));
        duties.clear();
        snapshot.duties().forEach(lease -> duties.put(lease.duty(), lease));
        lastToken = snapshot.lastToken();
        digest = snapshot.digest();
        commands = snapshot.commands();
        permits.clear();
        snapshot.permits().forEach(permit -> permits.put(permit.number(), permit));
        lastPermit = snapshot.lastPermit();
        haltedBy = snapshot.haltedBy();
        done.clear();
        done.addAll(snapshot.done());
        history.clear();
        history.addAll(snapshot.history());
        rollouts.open(snapshot.rollouts());
        plans.open(snapshot.plans());
        cordons.clear();
        if (snapshot.cordons() != null) { // null in the page of an older version
            snapshot.cordons().forEach(cordon -> cordons.put(cordon.server(), cordon));
        }
    }

    public Snapshot snapshot() {
        return new Snapshot(
                new ArrayList<>(members.values()),
                new ArrayList<>(duties.values()),
                lastToken,
                digest,
                commands,
                new ArrayList<>(permits.values()),
                lastPermit,
                haltedBy,
                new ArrayList<>(done),
                new ArrayList<>(history),
                rollouts.snapshot(),
                new ArrayList<>(cordons.values()),
                plans.snapshot());
    }

    /** Whether the command fitted and was done; one that no longer fits changes nothing. */
    public boolean apply(ClusterCommand command) {
        commands++;
        if (command instanceof ClusterCommand.Join join) {
            return join(join);
        }
        if (command instanceof ClusterCommand.Leave leave) {
            Member member = members.get(leave.name());
            if (member == null || !member.incarnation().equals(leave.incarnation())) {
                return false;
            }
            members.put(
                    leave.name(),
                    new Member(member.name(), member.incarnation(), member.site(), false));
            return true;
        }
        if (command instanceof ClusterCommand.RemoveNode forget) {
            boolean holds =
                    duties.values().stream()
                            .anyMatch(lease -> forget.name().equals(lease.holder()));
            if (holds || members.remove(forget.name()) == null) {
                return false;
            }
            permits.values().removeIf(permit -> permit.node().equals(forget.name()));
            plans.forget(forget.name());
            return true;
        }
        if (command instanceof ClusterCommand.GrantLease give) {
            return give(give);
        }
        if (command instanceof ClusterCommand.ReleaseLease free) {
            DutyLease lease = duties.get(free.duty());
            if (lease == null || lease.isFree() || !lease.token().equals(free.token())) {
                return false;
            }
            duties.put(free.duty(), new DutyLease(free.duty(), null, null, lease.token()));
            return true;
        }
        if (command instanceof ClusterCommand.GrantPermit allow) {
            return allow(allow);
        }
        if (command instanceof ClusterCommand.ReturnPermit back) {
            DisruptionPermit permit = permits.remove(back.permit());
            if (permit != null) {
                write(
                        back.atMillis(),
                        "permit "
                                + back.permit()
                                + " of "
                                + permit.node()
                                + " ended: "
                                + back.why());
            }
            return permit != null;
        }
        if (command instanceof ClusterCommand.SetHalt halt) {
            if (answer(halt.order()) == null) {
                haltedBy = halt.halted() ? halt.by() : "";
                did(halt.order(), halt.halted() ? "halted" : "resumed");
                write(halt.atMillis(), halt.by() + (halt.halted() ? " halted" : " resumed"));
            }
            return true;
        }
        if (command instanceof ClusterCommand.Bootstrap found) {
            if (isFounded()) {
                return false;
            }
            lastToken = Math.max(1, found.above());
            return true;
        }
        if (command instanceof ClusterCommand.BeginRollout begin) {
            return begin(begin);
        }
        if (command instanceof ClusterCommand.SetCapacityPlan plan) {
            boolean fits =
                    isUnder(DutyName.PLANNER, plan.token()) && plans.plan(plan, members.values());
            if (fits && !plan.why().isEmpty()) {
                write(plan.atMillis(), "plan " + plans.last() + ": " + plan.why());
            }
            return fits;
        }
        if (command instanceof ClusterCommand.RetireCapacityPlans retire) {
            return plans.retire(retire.beforePlan());
        }
        if (command instanceof ClusterCommand.CordonServer let) {
            if (answer(let.order()) != null) {
                return true;
            }
            boolean fits = reasonAgainstCordon(let.server(), let.most()).isEmpty();
            if (fits) {
                cordons.put(let.server(), new Cordon(let.server(), let.by()));
                did(let.order(), let.server() + " rests");
                write(let.atMillis(), let.by() + " let " + let.server() + " rest");
            }
            return fits;
        }
        if (command instanceof ClusterCommand.UncordonServer end) {
            if (answer(end.order()) != null) {
                return true;
            }
            boolean fits = cordons.remove(end.server()) != null;
            if (fits) {
                did(end.order(), end.server() + " is back");
                write(end.atMillis(), end.by() + " took " + end.server() + " back");
            }
            return fits;
        }
        if (command instanceof ClusterCommand.AdvanceRollout step) {
            return step(step);
        }
        if (command instanceof ClusterCommand.RollBack turn) {
            return turn(turn);
        }
        if (command instanceof ClusterCommand.FinishRollout finish) {
            Rollout rollout = rollouts.rollout();
            boolean fits =
                    isUnder(DutyName.ROLLOUT_CONTROLLER, finish.token()) && rollouts.finish(finish);
            if (fits) {
                write(
                        finish.atMillis(),
                        rollout
                                + (finish.done()
                                        ? " is done"
                                        : " has ended, nodes run what they ran before")
                                + (finish.why().isEmpty() ? "" : ": " + finish.why()));
            }
            return fits;
        }
        ClusterCommand.RecordStatus keep = (ClusterCommand.RecordStatus) command;
        if (!isUnder(DutyName.STATUS_REPORTER, keep.token())) {
            return false;
        }
        digest = keep.digest();
        return true;
    }

    private boolean isUnder(DutyName duty, FencingToken token) {
        DutyLease lease = duties.get(duty);
        return lease != null && !lease.isFree() && lease.token().equals(token);
    }

    private boolean begin(ClusterCommand.BeginRollout begin) {
        if (answer(begin.order()) != null) {
            return true; // it was done before
        }
        if (!haltedBy.isEmpty() || !cordons.isEmpty() || !rollouts.begin(begin)) {
            return false;
        }
        did(begin.order(), rollouts.rollout() + " of " + begin.to());
        write(
                begin.atMillis(),
                begin.by()
                        + " began "
                        + rollouts.rollout()
                        + " of "
                        + (begin.kind() == Rollout.Kind.PROGRAM
                                ? "the program "
                                : "the configuration ")
                        + begin.to());
        return true;
    }

    private boolean step(ClusterCommand.AdvanceRollout step) {
        if (!isUnder(DutyName.ROLLOUT_CONTROLLER, step.token())
                || !haltedBy.isEmpty()
                || !rollouts.step(step)) {
            return false;
        }
        write(
                step.atMillis(),
                rollouts.rollout()
                        + (step.back() ? " taken back from " : " given to ")
                        + step.nodes().size()
                        + (step.nodes().size() == 1 ? " node, " : " nodes, ")
                        + step.nodes().get(0)
                        + (step.nodes().size() == 1 ? "" : " first")
                        + (step.why().isEmpty() ? "" : ": " + step.why()));
        return true;
    }

    /** Nothing may hold up the way back: it ends a halt, whoever halted. */
    private boolean turn(ClusterCommand.RollBack turn) {
        if (answer(turn.order()) != null) {
            return true;
        }
        if (!rollouts.turn(turn.rollout())) {
            return false;
        }
        haltedBy = "";
        did(turn.order(), rollouts.rollout() + " turns back");
        write(turn.atMillis(), turn.by() + " turned " + rollouts.rollout() + " back");
        return true;
    }

    /** Why a release may not begin now; empty where it may. */
    public String reasonAgainstRollout(Rollout.Kind kind, String to, String text) {
        return !haltedBy.isEmpty()
                ? haltedBy + " halted"
                : !cordons.isEmpty()
                        ? cordons.firstKey() + " rests; it has to be back first"
                        : rollouts.against(kind, to, text);
    }

    /** Why a server may not rest now; empty where it may. */
    public String reasonAgainstCordon(String server, int most) {
        Rollout rollout = rollouts.rollout();
        return !haltedBy.isEmpty()
                ? haltedBy + " halted"
                : rollout != null
                        ? rollout + " by " + rollout.by() + " is open; it has to end first"
                        : cordons.containsKey(server)
                                ? server + " rests already"
                                : cordons.size() >= most
                                        ? cordons.keySet()
                                                + " rest, and no more than "
                                                + most
                                                + " may"
                                        : "";
    }

    /** The newest plan; null before the first. */
    public CapacityPlan plan() {
        return plans.newest();
    }

    /** All plans that some node may still go by, the oldest first. */
    public List<CapacityPlan> livePlans() {
        return Collections.unmodifiableList(plans.live());
    }

    /** The number of the newest plan. */
    public long lastPlan() {
        return plans.last();
    }

    /** The servers that rest. */
    public Collection<Cordon> cordons() {
        return Collections.unmodifiableCollection(cordons.values());
    }

    /** The release that is open; null while none is. */
    public Rollout rollout() {
        return rollouts.rollout();
    }

    /** The digest of the text that all run while no release is open; empty for none. */
    public String good() {
        return rollouts.good();
    }

    /** What each node answered over a watch before the open release, by its name. */
    public Map<String, RequestCounts> past() {
        return rollouts.past();
    }

    /** What a node is to run. */
    public HeartbeatReply.Wanted wanted(NodeName node) {
        return new HeartbeatReply.Wanted(
                rollouts.wanted(node),
                rollouts.toCheck(),
                rollouts.rollout() != null,
                List.copyOf(cordons.keySet()));
    }

    /** The program that a node is to be started with; empty for whatever there is. */
    public String wantedProgram(NodeName node) {
        return rollouts.wantedProgram(node);
    }

    /** The fleet's text of that digest; null where it isn't kept. */
    public String text(String digest) {
        return rollouts.text(digest);
    }

    private boolean allow(ClusterCommand.GrantPermit allow) {
        if (answer(allow.order()) != null) {
            return true; // it was done before
        }
        Member member = members.get(allow.node());
        boolean has =
                permits.values().stream().anyMatch(permit -> permit.node().equals(allow.node()));
        if (!haltedBy.isEmpty()
                || member == null
                || has
                || permits.size() >= MOST_PERMITS
                || !new DisruptionBudget(
                                allow.limits(),
                                members.values(),
                                permits.values(),
                                allow.unavailableNodes())
                        .against(allow.node())
                        .isEmpty()) {
            return false;
        }
        DisruptionPermit permit =
                new DisruptionPermit(
                        ++lastPermit,
                        member.name(),
                        member.incarnation(),
                        member.site(),
                        allow.by());
        permits.put(permit.number(), permit);
        did(allow.order(), "permit " + permit.number() + " for " + permit.node());
        write(
                allow.atMillis(),
                allow.by() + " let " + permit.node() + " go under permit " + permit.number());
        return true;
    }

    private void did(String order, String text) {
        done.add(new CompletedOrder(order, text));
        if (done.size() > MAX_RETAINED) {
            done.poll();
        }
    }

    private void write(long atMillis, String text) {
        history.add(new HistoryEntry(atMillis, text));
        if (history.size() > MAX_RETAINED) {
            history.poll();
        }
    }

    /** What an order that was carried out came to; null for one that wasn't. */
    public String answer(String order) {
        return done.stream()
                .filter(one -> one.order().equals(order))
                .map(CompletedOrder::text)
                .findFirst()
                .orElse(null);
    }

    /** Why a node may not go now; empty where it may. */
    public String against(
            NodeName node, DisruptionLimits limits, Collection<NodeName> unavailableNodes) {
        if (!haltedBy.isEmpty()) {
            return haltedBy + " halted";
        }
        boolean has = permits.values().stream().anyMatch(permit -> permit.node().equals(node));
        return has
                ? node + " has a permit already"
                : new DisruptionBudget(limits, members.values(), permits.values(), unavailableNodes)
                        .against(node);
    }

    public Collection<DisruptionPermit> permits() {
        return Collections.unmodifiableCollection(permits.values());
    }

    /** Who halted; empty while nothing is. */
    public String haltedBy() {
        return haltedBy;
    }

    public List<HistoryEntry> history() {
        return new ArrayList<>(history);
    }

    private boolean join(ClusterCommand.Join join) {
        if (!members.containsKey(join.name()) && members.size() >= mostMembers) {
            // Guards against names that come once each, as of nodes named anew at each start: who
            // went makes room.
            members.values().stream()
                    .filter(member -> !member.in())
                    .findFirst()
                    .ifPresent(gone -> members.remove(gone.name()));
            if (members.size() >= mostMembers) {
                return false;
            }
        }
        members.put(join.name(), new Member(join.name(), join.incarnation(), join.site(), true));
        return true;
    }

    private boolean give(ClusterCommand.GrantLease give) {
        DutyLease lease = duties.get(give.duty());
        Member heir = members.get(give.heir());
        boolean fits =
                lease == null
                        ? give.after().number() == 0 && duties.size() < MOST_DUTIES
                        : lease.isFree() && lease.token().equals(give.after());
        if (!fits || heir == null || !heir.in() || !heir.incarnation().equals(give.incarnation())) {
            return false;
        }
        duties.put(
                give.duty(),
                new DutyLease(
                        give.duty(),
                        give.heir(),
                        give.incarnation(),
                        new FencingToken(++lastToken)));
        return true;
    }

    /** Whether the first token is known; before, no duty is given. */
    public boolean isFounded() {
        return lastToken > 0;
    }

    /** Whether no further node may come. */
    public boolean isFull() {
        return members.size() >= mostMembers && members.values().stream().allMatch(Member::in);
    }

    /** Null where no such node came. */
    public Member member(NodeName name) {
        return members.get(name);
    }

    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /** Never null: one that was never given is nobody's under token 0. */
    public DutyLease duty(DutyName duty) {
        DutyLease lease = duties.get(duty);
        return lease == null ? new DutyLease(duty, null, null, new FencingToken(0)) : lease;
    }

    public Collection<DutyLease> duties() {
        return Collections.unmodifiableCollection(duties.values());
    }

    /** What the status reporter last gathered. */
    public String digest() {
        return digest;
    }

    /** How many commands were read, those that didn't fit included. */
    public long commands() {
        return commands;
    }
}
