package lupinwood.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import lupinwood.ajp.BadPacket;
import lupinwood.ajp.FrontReader;
import lupinwood.ajp.Replies;
import lupinwood.ajp.Request;
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
import lupinwood.node.SubjectId;
import lupinwood.routes.Asked;
import lupinwood.routes.Routes;
import lupinwood.settings.Meaning;

/**
 * Web servers that speak AJP/1.3: each request that a route knows is a ticket, one at a time on a
 * connection. A connection that ends is the caller leaving.
 */
final class AjpFront extends Front<FrontReader.Event> {
    private static final int MOST_BODY = 2048;

    /** An answer later than this part of the abandon time came because the time ran out. */
    private static final double NEARLY_ALL = 0.9;

    private static final int CALLERS = 1 << 16;

    private final Routes routes;
    private final byte[] secret;
    private final int packet;

    /**
     * Ids of tries, which no two of this node's lives share: it begins at the clock and grows
     * slower than that.
     */
    private final AtomicLong ids = new AtomicLong(Decider.clock().nanos());

    AjpFront(Meaning meaning, Decider decider, Deadlines deadlines, Log log) {
        super(decider, deadlines, log);
        routes = new Routes(meaning);
        String told = meaning.value("ajp secret");
        secret = told == null ? null : told.getBytes(StandardCharsets.ISO_8859_1);
        packet = Integer.parseInt(meaning.values().getOrDefault("ajp packet-bytes", "8192"));
    }

    @Override
    Peer newPeer() {
        return new AjpCaller();
    }

    // ---- out ----

    @Override
    public void answer(ConnectionId connection, long tag, Answer answer) {
        if (caller(connection) instanceof AjpCaller caller && !caller.isEnded()) {
            switch (answer.word()) {
                case GOOD, NOT_GOOD -> caller.outbox().add(Replies.pong());
                default -> caller.answer(answer);
            }
            flushSoon(caller);
        }
    }

    /**
     * AJP has no word for it: the next answer ends its connection, and one at rest after an answer
     * ends now.
     */
    @Override
    public void sayNoMore(ConnectionId connection) {
        if (caller(connection) instanceof AjpCaller caller) {
            caller.last = true;
            if (!caller.open && caller.answered > 0) {
                host().halfClosed(connection);
            }
        }
    }

    /** What each way of being refused is in HTTP. */
    private static int status(Routes.Refusal refusal) {
        return switch (refusal) {
            case NO_ROUTE -> 404;
            case OTHER_METHOD -> 405;
            case NO_CUSTOMER, NO_MARK, BAD_MARK, MARK_WHERE_NONE_BELONGS -> 400;
        };
    }

    /** What a web server reads of each, in the header that says why. */
    private static String word(Routes.Refusal refusal) {
        return switch (refusal) {
            case NO_ROUTE -> "NO_ROUTE";
            case OTHER_METHOD -> "OTHER_METHOD";
            case NO_CUSTOMER -> "NO_CUSTOMER";
            case NO_MARK -> "NO_MARK";
            case BAD_MARK -> "BAD_MARK";
            case MARK_WHERE_NONE_BELONGS -> "MARK_WHERE_NONE_BELONGS";
        };
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 403 -> "Forbidden";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 413 -> "Content Too Large";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Internal Server Error";
        };
    }

    // ---- in ----

    /** One web server's connection. */
    private final class AjpCaller extends Caller {
        private final FrontReader reader = new FrontReader(packet, MOST_BODY);

        /** A request is open; a second one then is an offence. */
        private boolean open;

        /** The answer to what is open ends the connection. */
        private boolean last;

        private boolean offended;
        private long answered;
        private long tag;

        /** Why what is open is no ticket, as a status; 0 for a ticket. */
        private int refused;

        private String why = "";
        private Moment reached;
        private Routes.Match match;

        @Override
        FrontReader.Event next(ByteBuffer bytes) throws Malformed {
            try {
                return reader.next(bytes);
            } catch (BadPacket e) {
                throw new Malformed("AJP: " + e.getMessage());
            }
        }

        @Override
        boolean isMidway() {
            return reader.isMidway();
        }

        @Override
        Runnable read(FrontReader.Event event) {
            Moment now = Decider.clock();
            return () -> {
                if (offended) {
                    return;
                }
                if (event instanceof FrontReader.Ping) {
                    host().checked(id(), ++tag, false);
                } else if (open) {
                    offended = true;
                    last = true;
                    log().line(
                                    "a second request on an AJP connection before the first one's answer");
                } else if (event instanceof FrontReader.More more) {
                    outbox().add(Replies.askBody(more.most()));
                    flushSoon(this);
                } else {
                    request((FrontReader.Whole) event, now);
                }
            };
        }

        /** What is no ticket is told to the host all the same: it counts who sends such. */
        private void request(FrontReader.Whole whole, Moment now) {
            open = true;
            reached = now;
            refused = 0;
            Arrival arrival = arrival(whole);
            host().arrived(id(), ++tag, arrival);
        }

        private Arrival arrival(FrontReader.Whole whole) {
            Request request = whole.request();
            if (secret != null && !isSecret(request.secret())) {
                last = true;
                return refuse(403, "wrong or missing secret");
            }
            match =
                    routes.match(
                            new Asked() {
                                @Override
                                public String method() {
                                    return request.method();
                                }

                                @Override
                                public String path() {
                                    int end = request.uri().indexOf('?');
                                    return end < 0
                                            ? request.uri()
                                            : request.uri().substring(0, end);
                                }

                                @Override
                                public String header(String smallName) {
                                    return request.header(smallName);
                                }
                            });
            if (match.refusal() != null) {
                return refuse(status(match.refusal()), word(match.refusal()));
            }
            if (whole.body() == null) {
                return refuse(413, "a body of more than " + MOST_BODY + " bytes");
            }
            int caller =
                    request.remote() == null
                            ? 0
                            : Math.floorMod(request.remote().hashCode(), CALLERS);
            return new Arrival(
                    new TryId(String.format("%016x", ids.incrementAndGet())),
                    match.track(),
                    Settings.word(match.customer()),
                    new SubjectId(0),
                    new CallerId(caller),
                    reached,
                    match.memoryKb(),
                    0.5,
                    match.mark() == null ? null : new ReceiptKey(match.mark()),
                    whole.body());
        }

        private Arrival refuse(int status, String text) {
            refused = status;
            why = text;
            return null;
        }

        /** In a time that tells nothing of how much of it is right. */
        private boolean isSecret(String shown) {
            return MessageDigest.isEqual(
                    secret, (shown == null ? "" : shown).getBytes(StandardCharsets.ISO_8859_1));
        }

        private void answer(Answer answer) {
            int status =
                    switch (answer.word()) {
                        case SATISFIED -> 200;
                        case BOUNCED -> 503;
                        default -> refused != 0 ? refused : ranOut() ? 504 : 500;
                    };
            Map<String, String> headers = new LinkedHashMap<>();
            if (answer.advice() >= 0 && answer.advice() < Double.MAX_VALUE) {
                headers.put(
                        "X-Advice",
                        BigDecimal.valueOf(answer.advice())
                                .setScale(4, RoundingMode.HALF_UP)
                                .stripTrailingZeros()
                                .toPlainString());
            }
            if (answer.comeBackAfter().isPositive()) {
                long millis = (answer.comeBackAfter().nanos() + 999_999) / 1_000_000;
                headers.put("Retry-After", Long.toString((millis + 999) / 1000));
                headers.put("X-Retry-After-Ms", Long.toString(millis));
            }
            if (answer.askNoOther()) {
                headers.put("X-Ask-No-Other", "1");
            }
            if (refused != 0) {
                headers.put("X-Refused", why);
            }
            open = false;
            answered++;
            outbox().add(
                            Replies.answer(
                                    status,
                                    reason(status),
                                    headers,
                                    answer.result(),
                                    packet,
                                    !last));
            if (last) {
                host().halfClosed(id());
            }
        }

        private boolean ranOut() {
            return match != null
                    && match.refusal() == null
                    && match.abandon().times(NEARLY_ALL).compareTo(Decider.clock().since(reached))
                            <= 0;
        }
    }
}
