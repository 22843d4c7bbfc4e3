package lupinwood.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the fleet has agreed on: its members, and who holds which duty under which token. The same
 * deeds in the same order give the same book everywhere. It knows no time: whether a lease has run
 * out is the steward's to reckon.
 */
public final class Book {
    /**
     * A node that came.
     *
     * @param in whether it has come and not gone
     */
    public record Member(NodeName name, Life life, Site site, boolean in) {}

    /**
     * A duty.
     *
     * @param holder null while it is nobody's
     * @param life of the holder
     * @param token the one it was last given under
     */
    public record Held(DutyName duty, NodeName holder, Life life, Token token) {
        public boolean isFree() {
            return holder == null;
        }

        public boolean isBy(NodeName name, Life ofLife) {
            return holder != null && holder.equals(name) && life.equals(ofLife);
        }
    }

    /** An operator's order that was carried out, with what it came to. */
    public record Done(String order, String text) {}

    /** What operators did, and what followed; the time is the wall clock of who led. */
    public record Entry(long atMillis, String text) {}

    /** The whole book, as it is kept and sent. */
    public record Page(
            List<Member> members,
            List<Held> duties,
            long lastToken,
            String digest,
            long deeds,
            List<Permit> permits,
            long lastPermit,
            String haltedBy,
            List<Done> done,
            List<Entry> history,
            Releases.Page releases,
            List<Rest> rests,
            Plans.Page plans) {}

    private static final int MOST_DUTIES = 64;
    private static final int MOST_PERMITS = 1024;

    /** Orders that may be repeated, and lines of history. */
    private static final int MOST_KEPT = 256;

    private final int mostMembers;
    private final TreeMap<NodeName, Member> members = new TreeMap<>();
    private final TreeMap<DutyName, Held> duties = new TreeMap<>();
    private final TreeMap<Long, Permit> permits = new TreeMap<>();
    private final Releases releases = new Releases();
    private final Plans plans = new Plans();
    private final TreeMap<String, Rest> rests = new TreeMap<>();
    private final ArrayDeque<Done> done = new ArrayDeque<>();
    private final ArrayDeque<Entry> history = new ArrayDeque<>();
    private long lastPermit;

    /** Who halted; empty while nothing is. */
    private String haltedBy = "";

    private long lastToken;
    private String digest = "";
    private long deeds;

    public Book(int mostMembers) {
        this.mostMembers = mostMembers;
    }

    /** Takes over a whole page in the place of all it had. */
    public void open(Page page) {
        members.clear();
        page.members().forEach(member -> members.put(member.name(), member));
        duties.clear();
        page.duties().forEach(held -> duties.put(held.duty(), held));
        lastToken = page.lastToken();
        digest = page.digest();
        deeds = page.deeds();
        permits.clear();
        page.permits().forEach(permit -> permits.put(permit.number(), permit));
        lastPermit = page.lastPermit();
        haltedBy = page.haltedBy();
        done.clear();
        done.addAll(page.done());
        history.clear();
        history.addAll(page.history());
        releases.open(page.releases());
        plans.open(page.plans());
        rests.clear();
        if (page.rests() != null) { // null in the page of an older version
            page.rests().forEach(rest -> rests.put(rest.server(), rest));
        }
    }

    public Page page() {
        return new Page(
                new ArrayList<>(members.values()),
                new ArrayList<>(duties.values()),
                lastToken,
                digest,
                deeds,
                new ArrayList<>(permits.values()),
                lastPermit,
                haltedBy,
                new ArrayList<>(done),
                new ArrayList<>(history),
                releases.page(),
                new ArrayList<>(rests.values()),
                plans.page());
    }

    /** Whether the deed fitted and was done; one that no longer fits changes nothing. */
    public boolean apply(Deed deed) {
        deeds++;
        if (deed instanceof Deed.Join join) {
            return join(join);
        }
        if (deed instanceof Deed.Leave leave) {
            Member member = members.get(leave.name());
            if (member == null || !member.life().equals(leave.life())) {
                return false;
            }
            members.put(
                    leave.name(), new Member(member.name(), member.life(), member.site(), false));
            return true;
        }
        if (deed instanceof Deed.Forget forget) {
            boolean holds =
                    duties.values().stream().anyMatch(held -> forget.name().equals(held.holder()));
            if (holds || members.remove(forget.name()) == null) {
                return false;
            }
            permits.values().removeIf(permit -> permit.node().equals(forget.name()));
            plans.forget(forget.name());
            return true;
        }
        if (deed instanceof Deed.Give give) {
            return give(give);
        }
        if (deed instanceof Deed.Free free) {
            Held held = duties.get(free.duty());
            if (held == null || held.isFree() || !held.token().equals(free.token())) {
                return false;
            }
            duties.put(free.duty(), new Held(free.duty(), null, null, held.token()));
            return true;
        }
        if (deed instanceof Deed.Allow allow) {
            return allow(allow);
        }
        if (deed instanceof Deed.Back back) {
            Permit permit = permits.remove(back.permit());
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
        if (deed instanceof Deed.Halt halt) {
            if (answer(halt.order()) == null) {
                haltedBy = halt.halted() ? halt.by() : "";
                did(halt.order(), halt.halted() ? "halted" : "resumed");
                write(halt.atMillis(), halt.by() + (halt.halted() ? " halted" : " resumed"));
            }
            return true;
        }
        if (deed instanceof Deed.Found found) {
            if (isFounded()) {
                return false;
            }
            lastToken = Math.max(1, found.above());
            return true;
        }
        if (deed instanceof Deed.Begin begin) {
            return begin(begin);
        }
        if (deed instanceof Deed.SetPlan plan) {
            boolean fits =
                    isUnder(DutyName.PLANNER, plan.token()) && plans.plan(plan, members.values());
            if (fits && !plan.why().isEmpty()) {
                write(plan.atMillis(), "plan " + plans.last() + ": " + plan.why());
            }
            return fits;
        }
        if (deed instanceof Deed.Retire retire) {
            return plans.retire(retire.below());
        }
        if (deed instanceof Deed.LetRest let) {
            if (answer(let.order()) != null) {
                return true;
            }
            boolean fits = againstRest(let.server(), let.most()).isEmpty();
            if (fits) {
                rests.put(let.server(), new Rest(let.server(), let.by()));
                did(let.order(), let.server() + " rests");
                write(let.atMillis(), let.by() + " let " + let.server() + " rest");
            }
            return fits;
        }
        if (deed instanceof Deed.EndRest end) {
            if (answer(end.order()) != null) {
                return true;
            }
            boolean fits = rests.remove(end.server()) != null;
            if (fits) {
                did(end.order(), end.server() + " is back");
                write(end.atMillis(), end.by() + " took " + end.server() + " back");
            }
            return fits;
        }
        if (deed instanceof Deed.Step step) {
            return step(step);
        }
        if (deed instanceof Deed.Turn turn) {
            return turn(turn);
        }
        if (deed instanceof Deed.Finish finish) {
            Release release = releases.release();
            boolean fits = isUnder(DutyName.CONDUCTOR, finish.token()) && releases.finish(finish);
            if (fits) {
                write(
                        finish.atMillis(),
                        release
                                + (finish.done()
                                        ? " is done"
                                        : " has ended, nodes run what they ran before")
                                + (finish.why().isEmpty() ? "" : ": " + finish.why()));
            }
            return fits;
        }
        Deed.Keep keep = (Deed.Keep) deed;
        if (!isUnder(DutyName.KEEPER, keep.token())) {
            return false;
        }
        digest = keep.digest();
        return true;
    }

    private boolean isUnder(DutyName duty, Token token) {
        Held held = duties.get(duty);
        return held != null && !held.isFree() && held.token().equals(token);
    }

    private boolean begin(Deed.Begin begin) {
        if (answer(begin.order()) != null) {
            return true; // it was done before
        }
        if (!haltedBy.isEmpty() || !rests.isEmpty() || !releases.begin(begin)) {
            return false;
        }
        did(begin.order(), releases.release() + " of " + begin.to());
        write(
                begin.atMillis(),
                begin.by()
                        + " began "
                        + releases.release()
                        + " of "
                        + (begin.kind() == Release.Kind.PROGRAM
                                ? "the program "
                                : "the configuration ")
                        + begin.to());
        return true;
    }

    private boolean step(Deed.Step step) {
        if (!isUnder(DutyName.CONDUCTOR, step.token())
                || !haltedBy.isEmpty()
                || !releases.step(step)) {
            return false;
        }
        write(
                step.atMillis(),
                releases.release()
                        + (step.back() ? " taken back from " : " given to ")
                        + step.nodes().size()
                        + (step.nodes().size() == 1 ? " node, " : " nodes, ")
                        + step.nodes().get(0)
                        + (step.nodes().size() == 1 ? "" : " first")
                        + (step.why().isEmpty() ? "" : ": " + step.why()));
        return true;
    }

    /** Nothing may hold up the way back: it ends a halt, whoever halted. */
    private boolean turn(Deed.Turn turn) {
        if (answer(turn.order()) != null) {
            return true;
        }
        if (!releases.turn(turn.release())) {
            return false;
        }
        haltedBy = "";
        did(turn.order(), releases.release() + " turns back");
        write(turn.atMillis(), turn.by() + " turned " + releases.release() + " back");
        return true;
    }

    /** Why a release may not begin now; empty where it may. */
    public String againstRelease(Release.Kind kind, String to, String text) {
        return !haltedBy.isEmpty()
                ? haltedBy + " halted"
                : !rests.isEmpty()
                        ? rests.firstKey() + " rests; it has to be back first"
                        : releases.against(kind, to, text);
    }

    /** Why a server may not rest now; empty where it may. */
    public String againstRest(String server, int most) {
        Release release = releases.release();
        return !haltedBy.isEmpty()
                ? haltedBy + " halted"
                : release != null
                        ? release + " by " + release.by() + " is open; it has to end first"
                        : rests.containsKey(server)
                                ? server + " rests already"
                                : rests.size() >= most
                                        ? rests.keySet()
                                                + " rest, and no more than "
                                                + most
                                                + " may"
                                        : "";
    }

    /** The newest plan; null before the first. */
    public Plan plan() {
        return plans.newest();
    }

    /** All plans that some node may still go by, the oldest first. */
    public List<Plan> livePlans() {
        return Collections.unmodifiableList(plans.live());
    }

    /** The number of the newest plan. */
    public long lastPlan() {
        return plans.last();
    }

    /** The servers that rest. */
    public Collection<Rest> rests() {
        return Collections.unmodifiableCollection(rests.values());
    }

    /** The release that is open; null while none is. */
    public Release release() {
        return releases.release();
    }

    /** The digest of the text that all run while no release is open; empty for none. */
    public String good() {
        return releases.good();
    }

    /** What each node answered over a watch before the open release, by its name. */
    public Map<String, Tally> past() {
        return releases.past();
    }

    /** What a node is to run. */
    public Reply.Wanted wanted(NodeName node) {
        return new Reply.Wanted(
                releases.wanted(node),
                releases.toCheck(),
                releases.release() != null,
                List.copyOf(rests.keySet()));
    }

    /** The program that a node is to be started with; empty for whatever there is. */
    public String wantedProgram(NodeName node) {
        return releases.wantedProgram(node);
    }

    /** The fleet's text of that digest; null where it isn't kept. */
    public String text(String digest) {
        return releases.text(digest);
    }

    private boolean allow(Deed.Allow allow) {
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
                || !new Outs(allow.rules(), members.values(), permits.values(), allow.seenOut())
                        .against(allow.node())
                        .isEmpty()) {
            return false;
        }
        Permit permit =
                new Permit(++lastPermit, member.name(), member.life(), member.site(), allow.by());
        permits.put(permit.number(), permit);
        did(allow.order(), "permit " + permit.number() + " for " + permit.node());
        write(
                allow.atMillis(),
                allow.by() + " let " + permit.node() + " go under permit " + permit.number());
        return true;
    }

    private void did(String order, String text) {
        done.add(new Done(order, text));
        if (done.size() > MOST_KEPT) {
            done.poll();
        }
    }

    private void write(long atMillis, String text) {
        history.add(new Entry(atMillis, text));
        if (history.size() > MOST_KEPT) {
            history.poll();
        }
    }

    /** What an order that was carried out came to; null for one that wasn't. */
    public String answer(String order) {
        return done.stream()
                .filter(one -> one.order().equals(order))
                .map(Done::text)
                .findFirst()
                .orElse(null);
    }

    /** Why a node may not go now; empty where it may. */
    public String against(NodeName node, OutRules rules, Collection<NodeName> seenOut) {
        if (!haltedBy.isEmpty()) {
            return haltedBy + " halted";
        }
        boolean has = permits.values().stream().anyMatch(permit -> permit.node().equals(node));
        return has
                ? node + " has a permit already"
                : new Outs(rules, members.values(), permits.values(), seenOut).against(node);
    }

    public Collection<Permit> permits() {
        return Collections.unmodifiableCollection(permits.values());
    }

    /** Who halted; empty while nothing is. */
    public String haltedBy() {
        return haltedBy;
    }

    public List<Entry> history() {
        return new ArrayList<>(history);
    }

    private boolean join(Deed.Join join) {
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
        members.put(join.name(), new Member(join.name(), join.life(), join.site(), true));
        return true;
    }

    private boolean give(Deed.Give give) {
        Held held = duties.get(give.duty());
        Member heir = members.get(give.heir());
        boolean fits =
                held == null
                        ? give.after().number() == 0 && duties.size() < MOST_DUTIES
                        : held.isFree() && held.token().equals(give.after());
        if (!fits || heir == null || !heir.in() || !heir.life().equals(give.life())) {
            return false;
        }
        duties.put(
                give.duty(),
                new Held(give.duty(), give.heir(), give.life(), new Token(++lastToken)));
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
    public Held duty(DutyName duty) {
        Held held = duties.get(duty);
        return held == null ? new Held(duty, null, null, new Token(0)) : held;
    }

    public Collection<Held> duties() {
        return Collections.unmodifiableCollection(duties.values());
    }

    /** What the keeper last gathered. */
    public String digest() {
        return digest;
    }

    /** How many deeds were read, those that didn't fit included. */
    public long deeds() {
        return deeds;
    }
}
