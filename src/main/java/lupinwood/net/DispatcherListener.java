package lupinwood.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import lupinwood.core.Answer;
import lupinwood.core.Arrival;
import lupinwood.core.ConnectionId;
import lupinwood.core.Deadlines;
import lupinwood.core.ReceiptKey;
import lupinwood.core.TryId;
import lupinwood.log.Log;
import lupinwood.node.CallerId;
import lupinwood.node.Moment;
import lupinwood.node.Settings;
import lupinwood.node.Span;
import lupinwood.node.SubjectId;

/** The dispatchers' side: RESP arrays in, answers out. */
final class DispatcherListener extends Front<List<byte[]>> {
    private static final int MOST_DIGITS = 18;

    /** As many signs as any figure written to its last place may take. */
    private static final int MOST_SIGNS = 40;

    private static final byte[] NOTHING = {};

    /**
     * No caller waits and no work takes longer than the longest abandon time that a configuration
     * may name.
     */
    private static final Span LONGEST_TOLD = Span.ofSeconds(86_400);

    /** The advice said last, and how; it seldom changes. */
    private double said = -1;

    private String signal;

    DispatcherListener(Decider decider, Deadlines deadlines, Log log) {
        super(decider, deadlines, log);
    }

    @Override
    Peer newPeer() {
        return new RespCaller();
    }

    // ---- out ----

    @Override
    public void answer(ConnectionId connection, long tag, Answer answer) {
        StringJoiner fields = new StringJoiner(",");
        if (answer.advice() >= 0 && answer.advice() < Double.MAX_VALUE) {
            if (answer.advice() != said) {
                said = answer.advice();
                signal =
                        "signal="
                                + BigDecimal.valueOf(said)
                                        .setScale(4, RoundingMode.HALF_UP)
                                        .stripTrailingZeros()
                                        .toPlainString();
            }
            fields.add(signal);
        }
        if (answer.comeBackAfter().isPositive()) {
            fields.add("holdoff=" + (answer.comeBackAfter().nanos() + 999_999) / 1_000_000);
        }
        if (answer.askNoOther()) {
            fields.add("nomore=1");
        }
        String word =
                switch (answer.word()) {
                    case SATISFIED -> "ACK";
                    case BOUNCED -> "NAK";
                    case ABANDONED -> "FAIL";
                    case GOOD -> "GREEN";
                    case NOT_GOOD -> "RED";
                };
        send(connection, Long.toString(tag), word, fields.toString(), answer.result());
    }

    @Override
    public void sayNoMore(ConnectionId connection) {
        send(connection, "0", "FIN", null, NOTHING);
    }

    private void send(
            ConnectionId connection, String tag, String word, String fields, byte[] result) {
        Caller caller = caller(connection);
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

    /** One dispatcher's connection. */
    private final class RespCaller extends Caller {
        private final RespParser parser = new RespParser();

        @Override
        List<byte[]> next(ByteBuffer bytes) throws Malformed {
            return parser.next(bytes);
        }

        @Override
        boolean isMidway() {
            return parser.isMidway();
        }

        @Override
        Runnable read(List<byte[]> items) throws Malformed {
            String verb = text(items.get(0));
            if (items.size() < 2) {
                throw new Malformed("an array without a tag");
            }
            long tag = LineParser.number(text(items.get(1)));
            if (tag < 1) {
                throw new Malformed("no tag is 0");
            }
            switch (verb) {
                case "REQ" -> {
                    Arrival arrival = arrival(items);
                    return () -> {
                        if (!host().arrived(id(), tag, arrival)) {
                            log().line(
                                            "closing a dispatcher's connection: a tag that is still open came again");
                            host().malformed(id());
                        }
                    };
                }
                case "ABORT" -> {
                    return () -> host().aborted(id(), tag);
                }
                case "HEALTH" -> {
                    boolean real =
                            items.size() > 2 && "1".equals(fields(text(items.get(2))).get("real"));
                    return () -> host().checked(id(), tag, real);
                }
                default -> throw new Malformed("an unknown verb");
            }
        }
    }

    /** Null where the fields don't make a ticket. */
    static Arrival arrival(List<byte[]> items) {
        if (items.size() < 4 || items.size() > 5) {
            return null;
        }
        Map<String, String> fields = fields(text(items.get(3)));
        String id = fields.get("req");
        if (!TryId.isValid(id) || !fields.getOrDefault("opkey", "").matches("[0-9a-fA-F]{0,64}")) {
            return null;
        }
        try {
            String subject = fields.getOrDefault("subject", "");
            String receipt = fields.getOrDefault("opkey", "");
            return new Arrival(
                    new TryId(id),
                    text(items.get(2)),
                    Settings.word(fields.getOrDefault("owner", "")),
                    new SubjectId(subject.isEmpty() ? 0 : Long.parseUnsignedLong(subject, 16)),
                    new CallerId(Math.toIntExact(whole(fields.get("via")))),
                    millis(fields.get("timeout")),
                    millis(fields.get("ms")),
                    "1".equals(fields.get("resent")),
                    new Moment(Math.multiplyExact(whole(fields.get("ts")), 1_000_000L)),
                    decimal(fields.get("need")),
                    decimal(fields.get("level")),
                    receipt.isEmpty() ? null : new ReceiptKey(receipt),
                    items.size() > 4 ? items.get(4) : NOTHING);
        } catch (ArithmeticException | NumberFormatException e) {
            return null;
        }
    }

    /** A time in milliseconds; zero where none is told. */
    private static Span millis(String text) {
        if (text == null) {
            return Span.ZERO;
        }
        try {
            Span told = Span.ofSeconds(decimal(text) / 1000);
            return told.isPositive() && told.compareTo(LONGEST_TOLD) <= 0 ? told : Arrival.NO_TIME;
        } catch (NumberFormatException e) {
            return Arrival.NO_TIME;
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
