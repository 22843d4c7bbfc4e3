package lupinwood.net;

import java.net.InetSocketAddress;
import java.util.Arrays;
import lupinwood.core.Ending;
import lupinwood.core.Executor;
import lupinwood.core.Host;
import lupinwood.core.TryId;
import lupinwood.node.Moment;
import lupinwood.node.Span;

/** The link to the executor, kept open; a lost one is replaced, and the notices missed come once each. */
final class ExecutorLink implements Executor {
    private static final Span TRY_AGAIN = Span.ofSeconds(0.1);
    /** How exactly the executor tells when it started. */
    private static final Span EXACTLY = Span.ofSeconds(0.1);
    /** An executor that leaves more than this unread is stuck; the link is made anew. */
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private final InetSocketAddress address;
    private final Means means;
    private Host host;
    /** The number of the last notice read. */
    private long last;
    private Link link;
    /** The executor had started by then; null before that was told. */
    private Moment startedBy;
    private boolean failing;

    ExecutorLink(InetSocketAddress address, Means means) {
        this.address = address;
        this.means = means;
        means.decider().addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
        connect();
    }

    private void connect() {
        new Link().connect(means.sockets(), address);
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
        link.outbox().add(line).add("\r\n");
        if (body != null) {
            link.outbox().add(body).add("\r\n");
        }
        return true;
    }

    private void flush() {
        if (link != null) {
            link.outbox().flush();
            if (link.outbox().waiting() > MOST_WAITING) {
                means.log().line("the executor doesn't read: " + Ending.SLOW_READER);
                link.outbox().closeNow();
            }
        }
    }

    private final class Link extends Outbound<LineParser.Message> {
        private boolean welcomed;
        private Moment joinedAt;

        Link() {
            super(means.decider(), new LineParser(words -> switch (words[0]) {
                case "EXIT" -> words.length == 6;
                case "CALLOUT" -> words.length == 4;
                default -> false;
            }));
        }

        @Override
        void stands() {
            link = this;
            joinedAt = host.now();
            outbox().add("JOIN " + last + "\r\n");
        }

        @Override
        void ended(Ending ending) {
            if (link == this) {
                link = null;
                means.log().line("the link to the executor is lost: " + ending);
            } else if (!failing) {
                means.log().line("no link to the executor: " + ending);
            }
            failing = true;
            means.deadlines().at(host.now().plus(TRY_AGAIN), ExecutorLink.this::connect);
        }

        /** Its notices begin anew with each start, and of the runs of the one before none will end. */
        private void welcome(boolean cold, Span age) {
            welcomed = true;
            failing = false;
            // It started between these two; a pause of this process may lie between asking and hearing.
            Moment earliest = joinedAt.minus(age);
            Moment latest = host.now().minus(age);
            if (startedBy != null && startedBy.plus(EXACTLY).isBefore(earliest)) {
                last = 0;
                host.executorStartedAnew();
                startedBy = null;
            }
            startedBy = startedBy == null ? latest : startedBy;
            host.welcomed(cold, age);
        }

        @Override
        Runnable read(LineParser.Message message) throws Malformed {
            String[] words = message.words();
            byte[] body = message.body();
            int most = words.length - 1;
            switch (words[0] + " " + most) {
                case "WELCOME 2" -> {
                    boolean cold = words[1].equals("COLD");
                    Span age = millis(words[2]);
                    return () -> welcome(cold, age);
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
                return notice(words[1], () -> means.log().line("the executor says: " + text));
            }
            throw new Malformed("no notice of the executor: " + words[0]);
        }

        /** Guards against a notice read twice, on a link and again on the one that replaced it. */
        private Runnable notice(String number, Runnable news) throws Malformed {
            long n = LineParser.number(number);
            return () -> {
                if (n > last) {
                    if (n > last + 1) {
                        means.log().line("notices " + (last + 1) + " to " + (n - 1)
                                + " of the executor are missing");
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
