package lupinwood.council;

import java.util.List;
import java.util.Map;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Token;
import lupinwood.node.Moment;

/**
 * What other threads of a node may know of the fleet: a ready picture, replaced as a whole, on the
 * monotonic clock of {@link System#nanoTime}.
 *
 * @param touchUntil after it the council's word is stale, and this node does as it would alone
 * @param held what this node holds, each with its end
 * @param found what the holder of the duty trial found, in no order
 * @param share what it may have at places below by the plan, and until when
 * @param rests servers to which nothing new is to be sent, by the council's last word, however old
 *     that is
 * @param leader who leads the council; null where nobody is known to
 */
public record FleetView(
        Moment touchUntil,
        List<Held> held,
        List<Found> found,
        Share share,
        List<String> rests,
        NodeName leader) {
    static final FleetView NONE =
            new FleetView(
                    new Moment(Long.MIN_VALUE),
                    List.of(),
                    List.of(),
                    new Share(0, Map.of(), new Moment(Long.MIN_VALUE)),
                    List.of(),
                    null);

    /**
     * One lease that this node holds.
     *
     * @param until when it may be done no more
     */
    public record Held(DutyName duty, Token token, Moment until) {}

    /**
     * This node's share of the slots by plan.
     *
     * @param plan zero before the first
     */
    public record Share(long plan, Map<String, Integer> slots, Moment until) {}

    /**
     * The result of one health check.
     *
     * @param at when it was tried, by this node's clock
     */
    public record Found(String server, boolean well, Moment at) {}

    public boolean isInTouch(Moment now) {
        return now.isBefore(touchUntil);
    }

    /** The token to act under, or null. To be asked before every act. */
    public Token mayAct(DutyName duty, Moment now) {
        for (Held one : held) {
            if (one.duty().equals(duty) && now.isBefore(one.until())) {
                return one.token();
            }
        }
        return null;
    }
}
