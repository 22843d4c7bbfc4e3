package lupinwood.net;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.function.Consumer;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.TimerSet;
import lupinwood.processing.AttemptId;
import lupinwood.processing.Completion;
import lupinwood.processing.Executor;
import lupinwood.processing.RequestProcessor;
import lupinwood.reload.ExecutorMigration;

/**
 * The link to the executor, kept open; a lost one is replaced, and the notices missed come once
 * each. To move to another address the new link is made first; the old one is asked for resource
 * usage, whose coming proves that all before was read, and only then does the new one take its
 * place.
 */
final class ExecutorClient implements Executor {
    private static final NanoDuration TRY_AGAIN = NanoDuration.ofSeconds(0.05);

    /** A link that stood for longer is replaced without a pause. */
    private static final NanoDuration SETTLED = NanoDuration.ofSeconds(0.5);

    /** A link that is to be replaced has this long to tell that it has read all. */
    private static final NanoDuration HANDOVER = NanoDuration.ofSeconds(0.05);

    /** An executor that leaves more than this unread is stuck; the link is made anew. */
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private final LinkContext context;

    /** Where to connect, and whether a move there is kept. */
    private final ExecutorMigration<InetSocketAddress> move;

    /** Hears of the address that the link went back to, or on to. */
    private final Consumer<InetSocketAddress> moved;

    private RequestProcessor processor;

    /** The number of the last notice read. */
    private long last;

    /** The link that commands go to, or null. */
    private ExecutorConnection link;

    /** The link made last; it stands in for the other once it has joined. */
    private ExecutorConnection newest;

    private TimerSet.Timer again;

    /**
     * What the executor last told of its age, and when; and when a link was lost after that, or
     * null.
     */
    private NanoDuration announcedAge;

    private MonotonicTime announcedAt;
    private MonotonicTime lostAt;
    private boolean failing;

    ExecutorClient(
            InetSocketAddress address, Consumer<InetSocketAddress> moved, LinkContext context) {
        move = new ExecutorMigration<>(address);
        this.moved = moved;
        this.context = context;
        context.eventLoop().addWriter(this::flush);
    }

    void serve(RequestProcessor served) {
        processor = served;
        connect();
    }

    /**
     * A new configuration names this address; it has so long to say WELCOME, zero for as long as it
     * takes.
     */
    void moveTo(InetSocketAddress next, NanoDuration within) {
        if (move.to(next, within, processor.now())) {
            connect();
            watch();
        }
    }

    private void watch() {
        if (!move.due().equals(MonotonicTime.NEVER)) {
            context.deadlines()
                    .schedule(
                            move.due(),
                            () -> {
                                ExecutorMigration.Step next = move.look(processor.now());
                                if (next != ExecutorMigration.Step.NOTHING) {
                                    context.log()
                                            .line(
                                                    (next == ExecutorMigration.Step.GO_BACK
                                                                    ? "the new executor said no WELCOME in time, back to "
                                                                    : "the executor before says no WELCOME either, once more to ")
                                                            + move.current());
                                    leaveNewest();
                                    connect();
                                    watch();
                                }
                            });
        }
    }

    /**
     * Guards against two links that both believe to be the next: the one given up must not join any
     * more.
     */
    private void leaveNewest() {
        ExecutorConnection given = newest;
        newest = null;
        if (given == link) {
            // It joined and was never welcomed, so nothing was written to it; the one before may
            // still stand.
            link = given.before;
            given.before = null;
        }
        cancelHandOver();
        if (given.outbox() != null) {
            given.outbox().closeNow();
        }
    }

    /** The current connection takes commands again, if it was about to be replaced. */
    private void cancelHandOver() {
        if (link != null && link.handovers != 0) {
            link.handovers = 0;
            processor.onExecutorHandOverFailed();
        }
    }

    private void connect() {
        context.deadlines().cancel(again);
        newest = new ExecutorConnection();
        newest.connect(context.sockets(), move.current());
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        return say("EXEC " + id.digits() + " " + className + " " + body.length, body);
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        return say("RETURN " + id.digits() + " " + reply.length, reply);
    }

    @Override
    public boolean stop(AttemptId id) {
        return say("KILL " + id.digits(), null);
    }

    @Override
    public boolean skipCall(AttemptId id) {
        return say("BYPASS " + id.digits(), null);
    }

    @Override
    public void askResourceUsage(long tag) {
        say("METER " + tag, null);
    }

    @Override
    public void checkDeep(long tag) {
        say("DIAG " + tag, null);
    }

    private boolean say(String line, byte[] body) {
        if (link == null || !link.welcomed || link.handovers != 0) {
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
                context.log().line("the executor doesn't read: " + Completion.SLOW_READER);
                link.outbox().closeNow();
            }
        }
    }

    private final class ExecutorConnection extends OutboundConnection<LineParser.Message> {
        private boolean welcomed;
        private MonotonicTime joinedAt;

        /** The link that this one replaced. */
        private ExecutorConnection before;

        /** The tag whose resource usage tell that this one can be replaced, or 0. */
        private long handovers;

        ExecutorConnection() {
            super(
                    context.eventLoop(),
                    new LineParser(
                            words ->
                                    switch (words[0]) {
                                        case "EXIT" -> words.length == 6;
                                        case "CALLOUT" -> words.length == 4;
                                        default -> false;
                                    }));
        }

        @Override
        void stands() {
            if (this != newest) {
                outbox().closeNow();
            } else if (link == null || !link.welcomed) {
                join();
            } else {
                link.handovers = processor.askResourceUsage();
                context.deadlines().schedule(processor.now().plus(HANDOVER), this::join);
            }
        }

        /** From now on this is the link; the executor drops the one before when it reads this. */
        private void join() {
            if (this == newest && joinedAt == null) {
                before = link;
                link = this;
                joinedAt = processor.now();
                outbox().add("JOIN " + last + "\r\n");
            }
        }

        @Override
        void ended(Completion ending) {
            if (link == this) {
                link = null;
                lostAt = lostAt == null ? processor.now() : lostAt;
                context.log().line("the link to the executor is lost: " + ending);
                if (newest.outbox() != null) {
                    newest.join();
                }
            } else if (this == newest && !failing) {
                context.log().line("no link to the executor: " + ending);
            }
            if (this == newest) {
                cancelHandOver();
                boolean settled =
                        welcomed && SETTLED.compareTo(processor.now().since(joinedAt)) < 0;
                again =
                        context.deadlines()
                                .schedule(
                                        processor
                                                .now()
                                                .plus(settled ? NanoDuration.ZERO : TRY_AGAIN),
                                        ExecutorClient.this::connect);
                failing = true;
            }
        }

        /**
         * Its notices begin anew with each start, and of the runs of the one before none will end.
         */
        private void welcome(boolean cold, NanoDuration age) {
            welcomed = true;
            failing = false;
            move.welcomed();
            moved.accept(move.current());
            if (before != null) {
                before.outbox().closeNow();
                before = null;
            }
            if (announcedAge != null && startedAnew(age)) {
                last = 0;
                processor.onExecutorRestarted();
            }
            announcedAge = age;
            announcedAt = processor.now();
            lostAt = null;
            processor.onExecutorConnected(cold, age);
        }

        /**
         * One that goes on is older by its whole former life than the time without a link, one that
         * started since is younger than that time: half of that life tells them apart. Its clock
         * and ours may drift as far, by pauses of one of the machines or by counting in coarse
         * steps.
         */
        private boolean startedAnew(NanoDuration age) {
            MonotonicTime away = lostAt == null ? joinedAt : lostAt;
            NanoDuration life = announcedAge.plus(away.since(announcedAt));
            return age.compareTo(joinedAt.since(away).plus(life.times(0.5))) < 0;
        }

        @Override
        Runnable read(LineParser.Message message) throws ProtocolException {
            String[] words = message.words();
            byte[] body = message.body();
            int most = words.length - 1;
            switch (words[0] + " " + most) {
                case "WELCOME 2" -> {
                    boolean cold = words[1].equals("COLD");
                    NanoDuration age = millis(words[2]);
                    return () -> welcome(cold, age);
                }
                case "EXIT 4", "EXIT 5" -> {
                    AttemptId id = id(words[2]);
                    Completion ending = ending(words[3]);
                    NanoDuration took = millis(words[4]);
                    return notice(words[1], () -> processor.onRunCompleted(id, ending, took, body));
                }
                case "CALLOUT 3" -> {
                    AttemptId id = id(words[2]);
                    return notice(words[1], () -> processor.onCallNeeded(id, body));
                }
                case "DIAGNOSED 2" -> {
                    long tag = LineParser.number(words[1]);
                    return () -> processor.onDeepCheckCompleted(tag, words[2].equals("OK"));
                }
                case "BAD 2" -> {
                    // The id of a command without one is its tag.
                    AttemptId id = new AttemptId(words[2]);
                    return () -> processor.onCommandRefused(words[1], id);
                }
                default -> {
                    return other(words);
                }
            }
        }

        private Runnable other(String[] words) throws ProtocolException {
            if (words[0].equals("METERS") && words.length > 1) {
                long tag = LineParser.number(words[1]);
                double[] values = new double[words.length - 2];
                for (int i = 0; i < values.length; i++) {
                    values[i] = decimal(words[i + 2]);
                }
                return () -> {
                    processor.resourceUsageRead(tag, values);
                    if (tag == handovers) {
                        newest.join();
                    }
                };
            }
            if (words[0].equals("LOG") && words.length > 1) {
                String text = String.join(" ", Arrays.asList(words).subList(2, words.length));
                return notice(words[1], () -> context.log().line("the executor says: " + text));
            }
            // A whole line that means nothing here harms nothing; to close the link would cost all
            // runs time.
            return () -> context.log().line("passed over, from the executor: " + words[0]);
        }

        /** Guards against a notice read twice, on a link and again on the one that replaced it. */
        private Runnable notice(String number, Runnable news) throws ProtocolException {
            long n = LineParser.number(number);
            return () -> {
                if (n > last) {
                    if (n > last + 1) {
                        context.log()
                                .line(
                                        "notices "
                                                + (last + 1)
                                                + " to "
                                                + (n - 1)
                                                + " of the executor are missing");
                    }
                    last = n;
                    news.run();
                }
            };
        }
    }

    private static AttemptId id(String word) throws ProtocolException {
        if (!AttemptId.isValid(word)) {
            throw new ProtocolException("no id of a try");
        }
        return new AttemptId(word);
    }

    private static NanoDuration millis(String word) throws ProtocolException {
        return NanoDuration.ofSeconds(decimal(word) / 1000);
    }

    private static double decimal(String word) throws ProtocolException {
        try {
            return Double.parseDouble(word);
        } catch (NumberFormatException e) {
            throw new ProtocolException("no number where one should stand");
        }
    }

    private static Completion ending(String word) throws ProtocolException {
        return switch (word) {
            case "OK" -> Completion.WELL;
            case "ERROR" -> Completion.FAILED;
            case "STOPPED" -> Completion.STOPPED;
            case "MOOT" -> Completion.NOTHING_STARTED;
            default -> throw new ProtocolException("no such end of a run");
        };
    }
}
