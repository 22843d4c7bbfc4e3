package lupinwood.net;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.SettingsMap;
import lupinwood.admission.SubjectId;
import lupinwood.admission.UpstreamId;
import lupinwood.ajp.BadPacket;
import lupinwood.ajp.FrontReader;
import lupinwood.ajp.Replies;
import lupinwood.ajp.Request;
import lupinwood.log.Log;
import lupinwood.processing.AttemptId;
import lupinwood.processing.ConnectionId;
import lupinwood.processing.IdempotencyKey;
import lupinwood.processing.IncomingRequest;
import lupinwood.processing.Response;
import lupinwood.processing.TimerService;
import lupinwood.routes.RequestMatchInput;
import lupinwood.routes.Routes;
import lupinwood.settings.ParsedSettings;

/**
 * Web servers that speak AJP/1.3: each request that a route knows is a request, one at a time on a
 * connection. A connection that ends is the caller leaving.
 */
final class AjpListener extends UpstreamListener<FrontReader.Event> {
    private static final int MOST_BODY = 2048;

    /** An answer later than this part of the timeout came because the time ran out. */
    private static final double NEARLY_ALL = 0.9;

    private static final int CALLERS = 1 << 16;

    private final Routes routes;
    private final byte[] secret;
    private final int packet;

    /**
     * Ids of tries, which no two of this node's lives share: it begins at the clock and grows
     * slower than that.
     */
    private final AtomicLong ids = new AtomicLong(EventLoop.clock().nanos());

    AjpListener(
            ParsedSettings parsedSettings,
            EventLoop eventLoop,
            TimerService deadlines,
            IncompleteMessageBudget incompleteMessages,
            Log log) {
        super(eventLoop, deadlines, incompleteMessages, log);
        routes = new Routes(parsedSettings);
        String reported = parsedSettings.value("ajp secret");
        secret = reported == null ? null : reported.getBytes(StandardCharsets.ISO_8859_1);
        packet = Integer.parseInt(parsedSettings.values().getOrDefault("ajp packet-bytes", "8192"));
    }

    @Override
    Peer newPeer() {
        return new AjpConnection();
    }

    // ---- out ----

    @Override
    public void answer(ConnectionId connection, long tag, Response answer) {
        if (caller(connection) instanceof AjpConnection caller && !caller.isEnded()) {
            switch (answer.word()) {
                case HEALTHY, UNHEALTHY -> caller.outbox().add(Replies.pong());
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
    public void requestClose(ConnectionId connection) {
        if (caller(connection) instanceof AjpConnection caller) {
            caller.last = true;
            if (!caller.open && caller.answered > 0) {
                processor().halfClosed(connection);
            }
        }
    }

    /** What each way of being refused is in HTTP. */
    private static int status(Routes.Refusal refusal) {
        return switch (refusal) {
            case NO_ROUTE -> 404;
            case OTHER_METHOD -> 405;
            case NO_TENANT, NO_MARK, BAD_MARK, MARK_WHERE_NONE_BELONGS -> 400;
        };
    }

    /** What a web server reads of each, in the header that says why. */
    private static String word(Routes.Refusal refusal) {
        return switch (refusal) {
            case NO_ROUTE -> "NO_ROUTE";
            case OTHER_METHOD -> "OTHER_METHOD";
            case NO_TENANT -> "NO_CUSTOMER";
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
    private final class AjpConnection extends UpstreamConnection {
        private FrontReader reader = new FrontReader(packet, MOST_BODY);

        /** A request is open; a second one then is an offence. */
        private boolean open;

        /** The answer to what is open ends the connection. */
        private boolean last;

        private boolean offended;
        private long answered;
        private long tag;

        /** Why what is open is no request, as a status; 0 for a request. */
        private int refused;

        private String why = "";
        private MonotonicTime reached;
        private Routes.Match match;

        @Override
        FrontReader.Event next(ByteBuffer bytes) throws ProtocolException {
            try {
                return reader.next(bytes);
            } catch (BadPacket e) {
                throw new ProtocolException("AJP: " + e.getMessage());
            }
        }

        @Override
        boolean isMidway() {
            return reader.isMidway();
        }

        @Override
        int heldBytes() {
            return reader.heldBytes();
        }

        @Override
        void discardMessage() {
            reader = new FrontReader(packet, MOST_BODY);
        }

        @Override
        Runnable read(FrontReader.Event event) {
            MonotonicTime now = EventLoop.clock();
            return () -> {
                if (offended) {
                    return;
                }
                if (event instanceof FrontReader.Ping) {
                    processor().onHealthCheck(id(), ++tag, false);
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

        /**
         * What is no request is told to the request processor all the same: it counts who sends
         * such.
         */
        private void request(FrontReader.Whole whole, MonotonicTime now) {
            open = true;
            reached = now;
            refused = 0;
            IncomingRequest incomingRequest = arrival(whole);
            processor().arrived(id(), ++tag, incomingRequest);
        }

        private IncomingRequest arrival(FrontReader.Whole whole) {
            Request request = whole.request();
            if (secret != null && !isSecret(request.secret())) {
                last = true;
                return refuse(403, "wrong or missing secret");
            }
            match =
                    routes.match(
                            new RequestMatchInput() {
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
            return new IncomingRequest(
                    new AttemptId(String.format("%016x", ids.incrementAndGet())),
                    match.className(),
                    SettingsMap.word(match.tenant()),
                    new SubjectId(0),
                    new UpstreamId(caller),
                    reached,
                    match.memoryKb(),
                    0.5,
                    match.mark() == null ? null : new IdempotencyKey(match.mark()),
                    whole.body());
        }

        private IncomingRequest refuse(int status, String text) {
            refused = status;
            why = text;
            return null;
        }

        /** In a time that tells nothing of how much of it is right. */
        private boolean isSecret(String shown) {
            return MessageDigest.isEqual(
                    secret, (shown == null ? "" : shown).getBytes(StandardCharsets.ISO_8859_1));
        }

        private void answer(Response answer) {
            int status =
                    switch (answer.word()) {
                        case SERVED -> 200;
                        case REJECTED -> 503;
                        default -> refused != 0 ? refused : ranOut() ? 504 : 500;
                    };
            Map<String, String> headers = new LinkedHashMap<>();
            if (answer.availableCapacity() >= 0 && answer.availableCapacity() < Double.MAX_VALUE) {
                headers.put(
                        "X-Advice",
                        BigDecimal.valueOf(answer.availableCapacity())
                                .setScale(4, RoundingMode.HALF_UP)
                                .stripTrailingZeros()
                                .toPlainString());
            }
            if (answer.retryAfter().isPositive()) {
                long millis = (answer.retryAfter().nanos() + 999_999) / 1_000_000;
                headers.put("Retry-After", Long.toString((millis + 999) / 1000));
                headers.put("X-Retry-After-Ms", Long.toString(millis));
            }
            if (answer.doNotRetryElsewhere()) {
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
                processor().halfClosed(id());
            }
        }

        private boolean ranOut() {
            return match != null
                    && match.refusal() == null
                    && match.timeout().times(NEARLY_ALL).compareTo(EventLoop.clock().since(reached))
                            <= 0;
        }
    }
}
