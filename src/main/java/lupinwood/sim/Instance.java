package lupinwood.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinwood.node.Handle;
import lupinwood.node.Moment;
import lupinwood.node.Node;
import lupinwood.node.Server;
import lupinwood.node.Span;
import lupinwood.node.TicketId;

/**
 * One life of one instance: its node, the handles still in use, and the machine as that node sees
 * it.
 */
final class Instance implements Server {
    private static final int CODE_SKIP = 80;
    private static final int CODE_TIMER = 81;
    private static final int CODE_REUSE = 82;
    private static final int CODE_FAIL = 83;
    private static final int CODE_STOP = 84;
    private static final int CODE_TRIM = 85;
    private static final int CODE_RUN = 86;
    private static final int CODE_CALL = 87;
    private static final int CODE_BOUNCE = 88;
    private static final int CODE_LOG = 89;
    private static final int CODE_ADVISE = 90;
    private static final int CODE_FORGET = 92;
    private static final int CODE_REMEMBER = 93;
    private static final int CODE_HEALTH = 94;

    final int number;
    final Map<Long, Handle> handles = new HashMap<>();

    /** The names of the gauges, in the order in which they come. */
    final List<String> gauges;

    Node node;
    Moment now;
    private final Reply reply;

    Instance(int number, Moment now, Reply reply, List<String> gauges) {
        this.number = number;
        this.gauges = gauges;
        this.now = now;
        this.reply = reply;
    }

    @Override
    public Moment now() {
        return now;
    }

    @Override
    public void run(TicketId ticket) {
        about(CODE_RUN, ticket);
    }

    @Override
    public void stop(TicketId ticket) {
        about(CODE_STOP, ticket);
    }

    @Override
    public void bounce(TicketId ticket, boolean askNoOther, Span comeBackAfter) {
        reply.record(CODE_BOUNCE, number, 13)
                .putInt((int) ticket.number())
                .put((byte) (askNoOther ? 1 : 0))
                .putLong(comeBackAfter.nanos());
    }

    @Override
    public void fail(TicketId ticket) {
        about(CODE_FAIL, ticket);
    }

    @Override
    public void call(TicketId ticket, Span cap) {
        timed(CODE_CALL, ticket, cap);
    }

    @Override
    public void skipCall(TicketId ticket) {
        about(CODE_SKIP, ticket);
    }

    @Override
    public void reuse(TicketId ticket) {
        about(CODE_REUSE, ticket);
    }

    @Override
    public void remember(TicketId ticket, Span span) {
        timed(CODE_REMEMBER, ticket, span);
    }

    @Override
    public void forget(TicketId ticket) {
        about(CODE_FORGET, ticket);
    }

    @Override
    public void health(boolean good, boolean fromStore) {
        reply.record(CODE_HEALTH, number, 2)
                .put((byte) (good ? 1 : 0))
                .put((byte) (fromStore ? 1 : 0));
    }

    @Override
    public void advise(double value) {
        reply.record(CODE_ADVISE, number, 4).putFloat((float) value);
    }

    @Override
    public void closeIdle(Span idle) {
        reply.record(CODE_TRIM, number, 8).putLong(idle.nanos());
    }

    @Override
    public void wakeAt(Moment moment) {
        reply.record(CODE_TIMER, number, 12).putLong(moment.nanos()).putInt(0);
    }

    @Override
    public void over(TicketId ticket) {
        handles.remove(ticket.number());
    }

    @Override
    public void log(String line) {
        reply.record(CODE_LOG, number, line);
    }

    private void about(int code, TicketId ticket) {
        reply.record(code, number, 4).putInt((int) ticket.number());
    }

    private void timed(int code, TicketId ticket, Span span) {
        reply.record(code, number, 12).putInt((int) ticket.number()).putLong(span.nanos());
    }
}
