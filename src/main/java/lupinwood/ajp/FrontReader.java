package lupinwood.ajp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * A container's side of one connection: packets become whole requests with their bodies. A body
 * that grows past its bound is read on to its end and not kept, so that its request alone ends.
 */
public final class FrontReader {
    /** What came. */
    public sealed interface Event permits Whole, More, Ping {}

    /**
     * One whole request.
     *
     * @param body null where it grew past its bound
     */
    @SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
    public record Whole(Request request, byte[] body) implements Event {}

    /** More of a body is needed, so many bytes at most: the other side waits to be asked. */
    public record More(int most) implements Event {}

    /** The other side asks whether anybody is there. */
    public record Ping() implements Event {}

    /** A packet's head and a body's own length. */
    private static final int BODY_OVERHEAD = 6;

    private final Splitter splitter;
    private final int packet;
    private final int mostBody;

    /** What a header or an attribute takes in memory beside its text: two strings and an entry. */
    private static final int FIELD_OVERHEAD_BYTES = 160;

    /** The request whose body is under way, or null. */
    private Request request;

    /** The memory that it takes, in bytes. */
    private int requestBytes;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long got;

    public FrontReader(int packet, int mostBody) {
        splitter = new Splitter(Replies.FROM_WEB_SERVER, packet);
        this.packet = packet;
        this.mostBody = mostBody;
    }

    /** The next event, or null where more bytes are needed. */
    public Event next(ByteBuffer in) throws BadPacket {
        for (byte[] one = splitter.next(in); one != null; one = splitter.next(in)) {
            Event event = request == null ? first(one) : chunk(one);
            if (event != null) {
                return event;
            }
        }
        return null;
    }

    private Event first(byte[] one) throws BadPacket {
        Fields fields = new Fields(one);
        int kind = fields.one();
        if (kind == Codes.PING) {
            return new Ping();
        }
        if (kind != Codes.FORWARD_REQUEST) {
            throw new BadPacket("a container takes no message with the number " + kind);
        }
        Request read = RequestReader.read(fields);
        body.reset();
        got = 0;
        if (read.contentLength() == 0) {
            return new Whole(read, new byte[0]);
        }
        request = read;
        requestBytes =
                one.length
                        + FIELD_OVERHEAD_BYTES * (read.headers().size() + read.attributes().size());
        // With a length told, the first part of the body comes by itself.
        return read.contentLength() < 0 ? more() : null;
    }

    private More more() {
        long left = request.contentLength() < 0 ? Long.MAX_VALUE : request.contentLength() - got;
        return new More((int) Math.min(packet - BODY_OVERHEAD, left));
    }

    private Event chunk(byte[] one) throws BadPacket {
        byte[] part = new byte[0];
        if (one.length > 0) {
            Fields fields = new Fields(one);
            part = fields.bytes(fields.two());
            if (!fields.isOver()) {
                throw new BadPacket("a part of a body that is shorter than its packet");
            }
        }
        long reported = request.contentLength();
        got += part.length;
        if (reported >= 0 && got > reported) {
            throw new BadPacket("a body longer than its length");
        }
        if (got <= mostBody) {
            body.writeBytes(part);
        }
        if (part.length > 0 && (reported < 0 || got < reported)) {
            return more();
        }
        if (reported >= 0 && got < reported) {
            throw new BadPacket("a body that ends before its length");
        }
        Whole whole = new Whole(request, got <= mostBody ? body.toByteArray() : null);
        request = null;
        return whole;
    }

    /** The memory that the message takes that is not complete yet, in bytes. */
    public int heldBytes() {
        return splitter.heldBytes() + (request == null ? 0 : requestBytes + body.size());
    }

    /** Whether a message or a body was begun and hasn't ended. */
    public boolean isMidway() {
        return splitter.isMidway() || request != null;
    }
}
