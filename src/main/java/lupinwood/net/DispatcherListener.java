package lupinwood.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import lupinwood.core.Answer;
import lupinwood.core.Arrival;
import lupinwood.core.ConnectionId;
import lupinwood.core.Deadlines;
import lupinwood.core.Dispatchers;
import lupinwood.core.Ending;
import lupinwood.core.Host;
import lupinwood.core.ReceiptKey;
import lupinwood.core.TryId;
import lupinwood.log.Log;
import lupinwood.node.CallerId;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.node.SubjectId;
import org.apache.mina.core.session.IoSession;

/** The dispatchers' side: RESP arrays in, answers out. */
final class DispatcherListener implements Dispatchers {
    /** What may wait for one dispatcher to read: a whole set of the longest answers. */
    private static final long MOST_WAITING = 160 * 1024;
    /** What may wait for all together; past it whoever has more than a few answers waiting is cut off. */
    private static final long MOST_WAITING_ALL = 12 * 1024 * 1024;
    private static final long FEW = 16 * 1024;
    private static final int MOST_DIGITS = 18;
    /** A message that was begun is whole by then. */
    private static final Span TIME_TO_END = Span.ofSeconds(1.5);
    private static final byte[] NOTHING = {};

    private final Decider decider;
    private final Deadlines deadlines;
    private final Log log;
    private final Map<ConnectionId, Caller> callers = new HashMap<>();
    private final Set<Caller> toFlush = new LinkedHashSet<>();
    private Host host;
    /** The advice said last, and how; it seldom changes. */
    private double said = -1;
    private String signal;

    DispatcherListener(Decider decider, Deadlines deadlines, Log log) {
        this.decider = decider;
        this.deadlines = deadlines;
        this.log = log;
        decider.addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
    }

    Peer newPeer() {
        return new Caller();
    }

    // ---- out ----

    @Override
    public void answer(ConnectionId connection, long tag, Answer answer) {
        StringJoiner fields = new StringJoiner(",");
        if (answer.advice() >= 0 && answer.advice() < Double.MAX_VALUE) {
            if (answer.advice() != said) {
                said = answer.advice();
                signal = "signal=" + BigDecimal.valueOf(said).setScale(4, RoundingMode.HALF_UP)
                        .stripTrailingZeros().toPlainString();
            }
            fields.add(signal);
        }
        if (answer.comeBackAfter().isPositive()) {
            fields.add("holdoff=" + (answer.comeBackAfter().nanos() + 999_999) / 1_000_000);
        }
        if (answer.askNoOther()) {
            fields.add("nomore=1");
        }
        String word = switch (answer.word()) {
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

    @Override
    public void readNoMore(ConnectionId connection) {
        Caller caller = callers.get(connection);
        if (caller != null) {
            caller.over = true;
            caller.outbox.readNoMore();
        }
    }

    @Override
    public void close(ConnectionId connection, Ending why) {
        Caller caller = callers.get(connection);
        if (caller != null) {
            if (why != Ending.CLOSED_BY_PEER) {
                log.line("closing a dispatcher's connection: " + why);
            }
            if (why == Ending.CLOSED_BY_PEER || why == Ending.UNSOUND || why == Ending.SAID_NOTHING) {
                caller.outbox.closeOnFlush();
            } else {
                caller.outbox.closeNow();
            }
        }
    }

    private void send(ConnectionId connection, String tag, String word, String fields, byte[] result) {
        Caller caller = callers.get(connection);
        if (caller == null) {
            return;
        }
        int items = result.length > 0 ? 4 : fields == null || fields.isEmpty() ? 2 : 3;
        caller.outbox.add("*" + items + "\r\n").add(bulk(tag)).add(bulk(word));
        if (items > 2) {
            caller.outbox.add(bulk(fields));
        }
        if (items > 3) {
            caller.outbox.add("$" + result.length + "\r\n").add(result).add("\r\n");
        }
        toFlush.add(caller);
    }

    private static String bulk(String text) {
        return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private void flush() {
        for (Caller caller : toFlush) {
            caller.outbox.flush();
            long waiting = caller.outbox.waiting();
            // Guards against dispatchers that don't read: their answers must not fill the memory.
            if (waiting > MOST_WAITING || waiting > FEW && waitingForAll() > MOST_WAITING_ALL) {
                close(caller.id, Ending.SLOW_READER);
            }
        }
        toFlush.clear();
    }

    private long waitingForAll() {
        return callers.values().stream().mapToLong(caller -> caller.outbox.waiting()).sum();
    }

    // ---- in ----

    /** One dispatcher's connection. */
    private final class Caller implements Peer {
        private final RespParser parser = new RespParser();
        private Outbox outbox;
        private ConnectionId id;
        /** Nothing more is read from it; set by the deciding thread. */
        private volatile boolean over;
        /** How many messages came, and whether one is begun, as told by the socket thread. */
        private volatile long messages;
        private volatile boolean midway;
        private boolean watched;

        @Override
        public void opened(IoSession session) {
            decider.tell(() -> {
                outbox = new Outbox(session);
                id = host.connected();
                if (id == null) {
                    log.line("no room for one more dispatcher's connection");
                    outbox.closeNow();
                } else {
                    callers.put(id, this);
                    // It may have been told to send no more before it could be found.
                    host.greet(id);
                }
            });
        }

        @Override
        public void received(ByteBuffer bytes) throws Malformed {
            if (over) {
                return;
            }
            List<Runnable> news = new ArrayList<>();
            try {
                for (List<byte[]> items = parser.next(bytes); items != null; items = parser.next(bytes)) {
                    Runnable read = read(items);
                    messages++;
                    news.add(() -> {
                        if (id != null) {
                            read.run();
                        }
                    });
                }
                boolean was = midway;
                midway = parser.isMidway();
                if (midway && !was) {
                    news.add(this::watch);
                }
            } finally {
                decider.tell(news);
            }
        }

        /** Guards against a message that never ends, however little or much comes of it. */
        private void watch() {
            if (!watched && id != null && midway) {
                watched = true;
                long before = messages;
                deadlines.at(host.now().plus(TIME_TO_END), () -> {
                    watched = false;
                    if (midway && messages == before && id != null) {
                        host.leftOff(id);
                    } else {
                        watch();
                    }
                });
            }
        }

        @Override
        public void inputClosed(IoSession session) {
            session.suspendRead();
            decider.tell(() -> {
                if (id != null) {
                    host.halfClosed(id);
                }
            });
        }

        @Override
        public void closed(boolean malformed) {
            decider.tell(() -> {
                if (id != null) {
                    callers.remove(id);
                    host.disconnected(id);
                }
            });
        }

        private Runnable read(List<byte[]> items) throws Malformed {
            String verb = text(items.get(0));
            if (items.size() < 2) {
                throw new Malformed("an array without a tag");
            }
            long tag = LineParser.number(text(items.get(1)));
            if (tag < 1) {
                throw new Malformed("no tag can be " + tag);
            }
            switch (verb) {
                case "REQ" -> {
                    Arrival arrival = arrival(items);
                    return () -> {
                        if (!host.arrived(id, tag, arrival)) {
                            close(id, Ending.MALFORMED);
                        }
                    };
                }
                case "ABORT" -> {
                    return () -> host.aborted(id, tag);
                }
                case "HEALTH" -> {
                    boolean real = items.size() > 2 && "1".equals(fields(text(items.get(2))).get("real"));
                    return () -> host.checked(id, tag, real);
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
            return new Arrival(new TryId(id), text(items.get(2)),
                    NodeConfig.word(fields.getOrDefault("owner", "")),
                    new SubjectId(subject.isEmpty() ? 0 : Long.parseUnsignedLong(subject, 16)),
                    new CallerId(Math.toIntExact(whole(fields.get("via")))),
                    new Moment(Math.multiplyExact(whole(fields.get("ts")), 1_000_000L)),
                    decimal(fields.get("need")), decimal(fields.get("level")),
                    receipt.isEmpty() ? null : new ReceiptKey(receipt),
                    items.size() > 4 ? items.get(4) : NOTHING);
        } catch (ArithmeticException | NumberFormatException e) {
            return null;
        }
    }

    private static long whole(String text) {
        return Long.parseLong(figure(text, false));
    }

    private static double decimal(String text) {
        return Double.parseDouble(figure(text, true));
    }

    /** Digits, with one point among them where that may be: less than the language's own readers take. */
    private static String figure(String text, boolean mayHavePoint) {
        int points = 0;
        for (int i = 0; text != null && i < text.length(); i++) {
            points += text.charAt(i) == '.' ? 1 : text.charAt(i) >= '0' && text.charAt(i) <= '9' ? 0 : 2;
        }
        if (text == null || text.length() > MOST_DIGITS || points > (mayHavePoint ? 1 : 0)) {
            throw new NumberFormatException("no figure");
        }
        return text;
    }

    private static Map<String, String> fields(String text) {
        Map<String, String> fields = new HashMap<>();
        for (String field : text.split(",")) {
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
