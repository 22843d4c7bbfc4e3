package lupinwood.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/**
 * Which duties this node holds, by its own monotonic clock. A grant counts from before the node
 * asked for it, and is shortened by how slow its clock may run: so it ends here before the council
 * may give the duty on, however long a reply was on its way. To be asked before every act, since
 * the process may have been stopped since it last was.
 */
public final class Holding {
    /** Beats whose reply may still come. */
    private static final int MOST_ASKED = 64;

    private record Until(Token token, Moment moment) {}

    private final Rules rules;
    private final Map<Long, Moment> askedAt = new HashMap<>();
    private long latest;
    private final TreeMap<DutyName, Until> held = new TreeMap<>();

    /** Given back or failed at, and not to be taken again under the same token. */
    private final Map<DutyName, Token> done = new HashMap<>();

    public Holding(Rules rules) {
        this.rules = rules;
    }

    /** A beat is about to go out. */
    public void asks(long number, Moment now) {
        askedAt.put(number, now);
        if (askedAt.size() > MOST_ASKED) {
            askedAt.keySet().removeIf(old -> old <= number - MOST_ASKED);
        }
    }

    /**
     * The council's word on what is held; it may come twice to one beat, the second time with more.
     * One to an older beat than the latest answered, or to one that isn't known any more, says
     * nothing.
     */
    public void told(Reply reply, Moment now) {
        Moment asked = askedAt.get(reply.number());
        if (asked == null || !reply.taken() || reply.number() < latest) {
            return;
        }
        latest = reply.number();
        askedAt.keySet().removeIf(old -> old < latest);
        // The council's lease counts where it is the shorter one: two files may differ.
        Moment until = asked.plus(rules.heldFor().min(reply.lease().times(1 - rules.drift())));
        TreeMap<DutyName, Until> next = new TreeMap<>();
        for (Grant grant : reply.grants()) {
            Until before = held.get(grant.duty());
            boolean newer = before == null || before.token().compareTo(grant.token()) <= 0;
            boolean over =
                    done.containsKey(grant.duty())
                            && done.get(grant.duty()).compareTo(grant.token()) >= 0;
            if (newer && !over && now.isBefore(until)) {
                next.put(grant.duty(), new Until(grant.token(), until));
            }
        }
        held.clear();
        held.putAll(next);
    }

    /** When that beat went out; null where it isn't known any more. */
    Moment asked(long number) {
        return askedAt.get(number);
    }

    /** The token to act under, or null: then the act must not be done. */
    public Token mayAct(DutyName duty, Moment now) {
        Until until = held.get(duty);
        return until != null && now.isBefore(until.moment()) ? until.token() : null;
    }

    /** How long it may act still; zero where it may not. */
    public Span left(DutyName duty, Moment now) {
        Until until = held.get(duty);
        return until == null ? Span.ZERO : until.moment().since(now).max(Span.ZERO);
    }

    /** What is held now. */
    public List<Grant> holds(Moment now) {
        List<Grant> holds = new ArrayList<>();
        held.forEach(
                (duty, until) -> {
                    if (now.isBefore(until.moment())) {
                        holds.add(new Grant(duty, until.token()));
                    }
                });
        return holds;
    }

    /**
     * From now on the duty isn't done here under the token it is held by; null where it isn't held.
     */
    public Grant giveUp(DutyName duty) {
        Until until = held.remove(duty);
        if (until == null) {
            return null;
        }
        done.put(duty, until.token());
        return new Grant(duty, until.token());
    }
}
