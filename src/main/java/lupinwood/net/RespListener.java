package lupinwood.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SettingsMap;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;
import lupinwood.log.Log;
import lupinwood.processing.AttemptId;
import lupinwood.processing.ConnectionId;
import lupinwood.processing.IdempotencyKey;
import lupinwood.processing.IncomingRequest;
import lupinwood.processing.Response;
import lupinwood.processing.TimerService;

/** The upstream load balancers' side: RESP arrays in, answers out. */
final class RespListener extends UpstreamListener<List<byte[]>> {
    private static final int MOST_DIGITS = 18;

    /** As many signs as any figure written to its last place may take. */
    private static final int MOST_SIGNS = 40;

    private static final byte[] NOTHING = {};

    /**
     * No caller waits and no work takes longer than the longest timeout that a configuration may
     * name.
     */
    private static final NanoDuration MAX_RETRY_AFTER = NanoDuration.ofSeconds(86_400);

    /** The advice said last, and how; it seldom changes. */
    private double said = -1;

    private String signal;

    RespListener(
            EventLoop eventLoop,
            TimerService deadlines,
            IncompleteMessageBudget incompleteMessages,
            Log log) {
        super(eventLoop, deadlines, incompleteMessages, log);
    }

    @Override
    Peer newPeer() {
        return new RespConnection();
    }

    // ---- out ----

    @Override
    public void answer(ConnectionId connection, long tag, Response answer) {
        StringJoiner fields = new StringJoiner(",");
        if (answer.availableCapacity() >= 0 && answer.availableCapacity() < Double.MAX_VALUE) {
            if (answer.availableCapacity() != said) {
                said = answer.availableCapacity();
                signal =
                        "signal="
                                + BigDecimal.valueOf(said)
                                        .setScale(4, RoundingMode.HALF_UP)
                                        .stripTrailingZeros()
                                        .toPlainString();
            }
            fields.add(signal);
        }
        if (answer.retryAfter().isPositive()) {
            fields.add("holdoff=" + (answer.retryAfter().nanos() + 999_999) / 1_000_000);
        }
        if (answer.doNotRetryElsewhere()) {
            fields.add("nomore=1");
        }
        String word =
                switch (answer.word()) {
                    case SERVED -> "ACK";
                    case REJECTED -> "NAK";
                    case FAILED -> "FAIL";
                    case HEALTHY -> "GREEN";
                    case UNHEALTHY -> "RED";
                };
        send(connection, Long.toString(tag), word, fields.toString(), answer.result());
    }

    @Override
    public void requestClose(ConnectionId connection) {
        send(connection, "0", "FIN", null, NOTHING);
    }

    private void send(
            ConnectionId connection, String tag, String word, String fields, byte[] result) {
        UpstreamConnection caller = caller(connection);
        if (caller == null || caller.isEnded()) {
            return;
        }
        int items = result.length > 0 ? 4 : fields == null || fields.isEmpty() ? 2 : 3;
        caller.outbox().add("*" + items + "\r\n").add(bulk(tag)).add(bulk(word));
        if (items > 2) {
            caller.outbox().add(bulk(fields));
        }
        if (items > 3) {
            caller.outbox().add("$" + result.length + "\r\n").add(result).add("\r\n");
        }
        flushSoon(caller);
    }

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    // ---- in ----

    /** One upstream load balancer's connection. */
    private final class RespConnection extends UpstreamConnection {
        private RespParser parser = new RespParser();

        @Override
        List<byte[]> next(ByteBuffer bytes) throws ProtocolException {
            return parser.next(bytes);
        }

        @Override
        boolean isMidway() {
            return parser.isMidway();
        }

        @Override
        int heldBytes() {
            return parser.heldBytes();
        }

        @Override
        void discardMessage() {
            parser = new RespParser();
        }

        @Override
        Runnable read(List<byte[]> items) throws ProtocolException {
            String verb = text(items.get(0));
            if (items.size() < 2) {
                throw new ProtocolException("an array without a tag");
            }
            long tag = LineParser.number(text(items.get(1)));
            if (tag < 1) {
                throw new ProtocolException("no tag is 0");
            }
            switch (verb) {
                case "REQ" -> {
                    IncomingRequest incomingRequest = arrival(items);
                    return () -> {
                        if (!processor().arrived(id(), tag, incomingRequest)) {
                            log().line(
                                            "closing a dispatcher's connection: a tag that is still open came again");
                            processor().malformed(id());
                        }
                    };
                }
                case "ABORT" -> {
                    return () -> processor().aborted(id(), tag);
                }
                case "HEALTH" -> {
                    boolean real =
                            items.size() > 2 && "1".equals(fields(text(items.get(2))).get("real"));
                    return () -> processor().onHealthCheck(id(), tag, real);
                }
                default -> throw new ProtocolException("an unknown verb");
            }
        }
    }

    /** Null where the fields don't make a request. */
    static IncomingRequest arrival(List<byte[]> items) {
        if (items.size() < 4 || items.size() > 5) {
            return null;
        }
        Map<String, String> fields = fields(text(items.get(3)));
        String id = fields.get("req");
        if (!AttemptId.isValid(id)
                || !fields.getOrDefault("opkey", "").matches("[0-9a-fA-F]{0,64}")) {
            return null;
        }
        try {
            String subject = fields.getOrDefault("subject", "");
            String idempotencyKey = fields.getOrDefault("opkey", "");
            return new IncomingRequest(
                    new AttemptId(id),
                    text(items.get(2)),
                    SettingsMap.word(fields.getOrDefault("owner", "")),
                    new SubjectId(subject.isEmpty() ? 0 : Long.parseUnsignedLong(subject, 16)),
                    new UpstreamId(Math.toIntExact(whole(fields.get("via")))),
                    millis(fields.get("timeout")),
                    millis(fields.get("ms")),
                    "1".equals(fields.get("resent")),
                    new MonotonicTime(Math.multiplyExact(whole(fields.get("ts")), 1_000_000L)),
                    decimal(fields.get("need")),
                    decimal(fields.get("level")),
                    idempotencyKey.isEmpty() ? null : new IdempotencyKey(idempotencyKey),
                    items.size() > 4 ? items.get(4) : NOTHING);
        } catch (ArithmeticException | NumberFormatException e) {
            return null;
        }
    }

    /** A time in milliseconds; zero where none is told. */
    private static NanoDuration millis(String text) {
        if (text == null) {
            return NanoDuration.ZERO;
        }
        try {
            NanoDuration reported = NanoDuration.ofSeconds(decimal(text) / 1000);
            return reported.isPositive() && reported.compareTo(MAX_RETRY_AFTER) <= 0
                    ? reported
                    : IncomingRequest.INVALID_DURATION;
        } catch (NumberFormatException e) {
            return IncomingRequest.INVALID_DURATION;
        }
    }

    private static long whole(String text) {
        return Long.parseLong(figure(text, false));
    }

    private static double decimal(String text) {
        return Double.parseDouble(figure(text, true));
    }

    /**
     * Digits, with one point among them where that may be: less than the language's own readers
     * take.
     */
    private static String figure(String text, boolean mayHavePoint) {
        int points = 0;
        for (int i = 0; text != null && i < text.length(); i++) {
            points +=
                    text.charAt(i) == '.'
                            ? 1
                            : text.charAt(i) >= '0' && text.charAt(i) <= '9' ? 0 : 2;
        }
        if (text == null
                || text.length() > (mayHavePoint ? MOST_SIGNS : MOST_DIGITS)
                || points > (mayHavePoint ? 1 : 0)) {
            throw new NumberFormatException("no figure");
        }
        return text;
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split(",", 0)) {
            int equals = field.indexOf('=');
            if (equals > 0) {
                fields.put(field.substring(0, equals), field.substring(equals + 1));
            }
        }
        return fields;
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
