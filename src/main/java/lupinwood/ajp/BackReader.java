package lupinwood.ajp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A web server's side of one connection: packets become whole answers. */
public final class BackReader {
    /** What came. */
    public sealed interface Event permits Answer, More, Pong {}

    /**
     * One whole answer.
     *
     * @param body null where it grew past its bound
     * @param reuse whether the connection may carry another request
     */
    @SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
    public record Answer(int status, Map<String, String> headers, byte[] body, boolean reuse)
            implements Event {}

    /** The container asks for more of the body, so many bytes at most. */
    public record More(int most) implements Event {}

    /** The container says that it is there. */
    public record Pong() implements Event {}

    private static final int MOST_HEADERS = 100;

    private final Splitter splitter;
    private final int mostBody;
    private int status;
    private Map<String, String> headers;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private long got;

    public BackReader(int packet, int mostBody) {
        splitter = new Splitter(Replies.FROM_CONTAINER, packet);
        this.mostBody = mostBody;
    }

    /** The next event, or null where more bytes are needed. */
    public Event next(ByteBuffer in) throws BadPacket {
        for (byte[] one = splitter.next(in); one != null; one = splitter.next(in)) {
            Event event = read(new Fields(one));
            if (event != null) {
                return event;
            }
        }
        return null;
    }

    private Event read(Fields in) throws BadPacket {
        int kind = in.one();
        switch (kind) {
            case Codes.PONG -> {
                return new Pong();
            }
            case Codes.GET_BODY_CHUNK -> {
                return new More(in.two());
            }
            case Codes.SEND_HEADERS -> {
                if (headers != null) {
                    throw new BadPacket("headers twice in one answer");
                }
                head(in);
                return null;
            }
            case Codes.SEND_BODY_CHUNK -> {
                if (headers == null) {
                    throw new BadPacket("a part of a body before its headers");
                }
                byte[] part = in.bytes(in.two());
                got += part.length;
                if (got <= mostBody) {
                    body.writeBytes(part);
                }
                return null;
            }
            case Codes.END_RESPONSE -> {
                if (headers == null) {
                    throw new BadPacket("an answer that ends before it began");
                }
                Answer answer =
                        new Answer(
                                status,
                                headers,
                                got <= mostBody ? body.toByteArray() : null,
                                in.flag());
                headers = null;
                return answer;
            }
            default -> throw new BadPacket("a container sends no message with the number " + kind);
        }
    }

    private void head(Fields in) throws BadPacket {
        status = in.two();
        in.text(); // the reason, which nobody reads
        int count = in.two();
        if (count > MOST_HEADERS) {
            throw new BadPacket(count + " headers are more than " + MOST_HEADERS);
        }
        Map<String, String> read = new HashMap<>();
        for (int i = 0; i < count; i++) {
            String name = Replies.headerName(in, Codes.RESPONSE_HEADERS);
            String value = in.text();
            read.merge(
                    name.toLowerCase(Locale.ROOT),
                    value == null ? "" : value,
                    (a, b) -> a + "," + b);
        }
        headers = read;
        body.reset();
        got = 0;
    }

    /** Whether an answer was begun and hasn't ended. */
    public boolean isMidway() {
        return splitter.isMidway() || headers != null;
    }
}
