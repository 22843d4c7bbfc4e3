package lupinwood.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Executor;
import lupinwood.core.Host;
import lupinwood.core.TryId;
import lupinwood.log.Log;
import lupinwood.node.Span;
import org.apache.mina.core.session.IoSession;

/** The link to the executor, kept open; a lost one is replaced, and the notices missed come once each. */
final class ExecutorLink implements Executor {
    private static final Span TRY_AGAIN = Span.ofSeconds(0.1);
    /** An executor that leaves more than this unread is stuck; the link is made anew. */
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private final InetSocketAddress address;
    private final Sockets sockets;
    private final Decider decider;
    private final Deadlines deadlines;
    private final Log log;
    private Host host;
    /** The number of the last notice read. */
    private long last;
    private Link link;

    ExecutorLink(InetSocketAddress address, Sockets sockets, Decider decider, Deadlines deadlines, Log log) {
        this.address = address;
        this.sockets = sockets;
        this.decider = decider;
        this.deadlines = deadlines;
        this.log = log;
        decider.addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
        connect();
    }

    private void connect() {
        Link next = new Link();
        sockets.connect(address, next, ending -> decider.tell(() -> next.over(ending)));
    }

    @Override
    public boolean run(TryId id, String track, byte[] body) {
        return say("EXEC " + id.digits() + " " + track + " " + body.length, body);
    }

    @Override
    public void giveReply(TryId id, byte[] reply) {
        say("RETURN " + id.digits() + " " + reply.length, reply);
    }

    @Override
    public void askGauges(long tag) {
        say("METER " + tag, null);
    }

    @Override
    public void checkDeep(long tag) {
        say("DIAG " + tag, null);
    }

    private boolean say(String line, byte[] body) {
        if (link == null || !link.welcomed) {
            return false;
        }
        link.outbox.add(line).add("\r\n");
        if (body != null) {
            link.outbox.add(body).add("\r\n");
        }
        return true;
    }

    private void flush() {
        if (link != null) {
            link.outbox.flush();
            if (link.outbox.waiting() > MOST_WAITING) {
                log.line("the executor doesn't read: " + Ending.SLOW_READER);
                link.outbox.closeNow();
            }
        }
    }

    private final class Link implements Peer {
        private final LineParser parser = new LineParser(words -> switch (words[0]) {
            case "EXIT" -> words.length == 6;
            case "CALLOUT" -> words.length == 4;
            default -> false;
        });
        private Outbox outbox;
        private boolean welcomed;

        @Override
        public void opened(IoSession session) {
            decider.tell(() -> {
                outbox = new Outbox(session);
                link = this;
                outbox.add("JOIN " + last + "\r\n");
            });
        }

        @Override
        public void received(ByteBuffer bytes) throws Malformed {
            for (LineParser.Message message; (message = parser.next(bytes)) != null; ) {
                Runnable news = read(message.words(), message.body());
                decider.tell(news);
            }
        }

        @Override
        public void inputClosed(IoSession session) {
            session.closeNow();
        }

        @Override
        public void closed(boolean malformed) {
            decider.tell(() -> over(malformed ? Ending.MALFORMED : Ending.CLOSED_BY_PEER));
        }

        private void over(Ending ending) {
            if (link == this) {
                link = null;
                log.line("the link to the executor is lost: " + ending);
            }
            deadlines.at(host.now().plus(TRY_AGAIN), ExecutorLink.this::connect);
        }

        private Runnable read(String[] words, byte[] body) throws Malformed {
            int most = words.length - 1;
            switch (words[0] + " " + most) {
                case "WELCOME 2" -> {
                    boolean cold = words[1].equals("COLD");
                    Span age = millis(words[2]);
                    return () -> {
                        welcomed = true;
                        host.welcomed(cold, age);
                    };
                }
                case "EXIT 4", "EXIT 5" -> {
                    TryId id = id(words[2]);
                    Ending ending = ending(words[3]);
                    Span took = millis(words[4]);
                    return notice(words[1], () -> host.exited(id, ending, took, body));
                }
                case "CALLOUT 3" -> {
                    TryId id = id(words[2]);
                    return notice(words[1], () -> host.calledOut(id, body));
                }
                case "DIAGNOSED 2" -> {
                    long tag = LineParser.number(words[1]);
                    return () -> host.diagnosed(tag, words[2].equals("OK"));
                }
                case "BAD 2" -> {
                    // The id of a command without one is its tag.
                    TryId id = new TryId(words[2]);
                    return () -> host.notCarriedOut(words[1], id);
                }
                default -> {
                    return other(words);
                }
            }
        }

        private Runnable other(String[] words) throws Malformed {
            if (words[0].equals("METERS") && words.length > 1) {
                long tag = LineParser.number(words[1]);
                double[] values = new double[words.length - 2];
                for (int i = 0; i < values.length; i++) {
                    values[i] = decimal(words[i + 2]);
                }
                return () -> host.gaugesRead(tag, values);
            }
            if (words[0].equals("LOG") && words.length > 1) {
                String text = String.join(" ", Arrays.asList(words).subList(2, words.length));
                return notice(words[1], () -> log.line("the executor says: " + text));
            }
            throw new Malformed("no notice of the executor: " + words[0]);
        }

        /** Guards against a notice read twice, on a link and again on the one that replaced it. */
        private Runnable notice(String number, Runnable news) throws Malformed {
            long n = LineParser.number(number);
            return () -> {
                if (n > last) {
                    if (n > last + 1) {
                        log.line("notices " + (last + 1) + " to " + (n - 1) + " of the executor are missing");
                    }
                    last = n;
                    news.run();
                }
            };
        }
    }

    private static TryId id(String word) throws Malformed {
        if (!TryId.isValid(word)) {
            throw new Malformed("no id of a try");
        }
        return new TryId(word);
    }

    private static Span millis(String word) throws Malformed {
        return Span.ofSeconds(decimal(word) / 1000);
    }

    private static double decimal(String word) throws Malformed {
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            throw new Malformed("no number where one should stand");
        }
    }

    private static Ending ending(String word) throws Malformed {
        return switch (word) {
            case "OK" -> Ending.WELL;
            case "ERROR" -> Ending.FAILED;
            case "STOPPED" -> Ending.STOPPED;
            case "MOOT" -> Ending.NOTHING_STARTED;
            default -> throw new Malformed("no such end of a run");
        };
    }
}
