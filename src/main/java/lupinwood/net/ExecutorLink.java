package lupinwood.net;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.function.Consumer;
import lupinwood.core.Deadlines;
import lupinwood.core.Ending;
import lupinwood.core.Executor;
import lupinwood.core.Host;
import lupinwood.core.TryId;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.reload.Move;

/**
 * The link to the executor, kept open; a lost one is replaced, and the notices missed come once
 * each. To move to another address the new link is made first; the old one is asked for gauges,
 * whose coming proves that all before was read, and only then does the new one take its place.
 */
final class ExecutorLink implements Executor {
    private static final Span TRY_AGAIN = Span.ofSeconds(0.05);

    /** A link that stood for longer is replaced without a pause. */
    private static final Span SETTLED = Span.ofSeconds(0.5);

    /** A link that is to be replaced has this long to tell that it has read all. */
    private static final Span HANDOVER = Span.ofSeconds(0.05);

    /** An executor that leaves more than this unread is stuck; the link is made anew. */
    private static final long MOST_WAITING = 4 * 1024 * 1024;

    private final Means means;

    /** Where to connect, and whether a move there is kept. */
    private final Move<InetSocketAddress> move;

    /** Hears of the address that the link went back to, or on to. */
    private final Consumer<InetSocketAddress> moved;

    private Host host;

    /** The number of the last notice read. */
    private long last;

    /** The link that commands go to, or null. */
    private Link link;

    /** The link made last; it stands in for the other once it has joined. */
    private Link newest;

    private Deadlines.Deadline again;

    /**
     * What the executor last told of its age, and when; and when a link was lost after that, or
     * null.
     */
    private Span toldAge;

    private Moment toldAt;
    private Moment lostAt;
    private boolean failing;

    ExecutorLink(InetSocketAddress address, Consumer<InetSocketAddress> moved, Means means) {
        move = new Move<>(address);
        this.moved = moved;
        this.means = means;
        means.decider().addWriter(this::flush);
    }

    void serve(Host served) {
        host = served;
        connect();
    }

    /**
     * A new configuration names this address; it has so long to say WELCOME, zero for as long as it
     * takes.
     */
    void moveTo(InetSocketAddress next, Span within) {
        if (move.to(next, within, host.now())) {
            connect();
            watch();
        }
    }

    private void watch() {
        if (!move.due().equals(Moment.NEVER)) {
            means.deadlines()
                    .at(
                            move.due(),
                            () -> {
                                Move.Next next = move.look(host.now());
                                if (next != Move.Next.NOTHING) {
                                    means.log()
                                            .line(
                                                    (next == Move.Next.GO_BACK
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
        Link given = newest;
        newest = null;
        if (given == link) {
            // It joined and was never welcomed, so nothing was written to it; the one before may
            // still stand.
            link = given.before;
            given.before = null;
        }
        if (link != null) {
            link.handsOver = 0;
        }
        if (given.outbox() != null) {
            given.outbox().closeNow();
        }
    }

    private void connect() {
        means.deadlines().callOff(again);
        newest = new Link();
        newest.connect(means.sockets(), move.current());
    }

    @Override
    public boolean run(TryId id, String track, byte[] body) {
        return say("EXEC " + id.digits() + " " + track + " " + body.length, body);
    }

    @Override
    public boolean giveReply(TryId id, byte[] reply) {
        return say("RETURN " + id.digits() + " " + reply.length, reply);
    }

    @Override
    public boolean stop(TryId id) {
        return say("KILL " + id.digits(), null);
    }

    @Override
    public boolean skipCall(TryId id) {
        return say("BYPASS " + id.digits(), null);
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
        if (link == null || !link.welcomed || link.handsOver != 0) {
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

        /** The link that this one replaced. */
        private Link before;

        /** The tag whose gauges tell that this one can be replaced, or 0. */
        private long handsOver;

        Link() {
            super(
                    means.decider(),
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
                link.handsOver = host.askGauges();
                means.deadlines().at(host.now().plus(HANDOVER), this::join);
            }
        }

        /** From now on this is the link; the executor drops the one before when it reads this. */
        private void join() {
            if (this == newest && joinedAt == null) {
                before = link;
                link = this;
                joinedAt = host.now();
                outbox().add("JOIN " + last + "\r\n");
            }
        }

        @Override
        void ended(Ending ending) {
            if (link == this) {
                link = null;
                lostAt = lostAt == null ? host.now() : lostAt;
                means.log().line("the link to the executor is lost: " + ending);
                if (newest.outbox() != null) {
                    newest.join();
                }
            } else if (this == newest && !failing) {
                means.log().line("no link to the executor: " + ending);
            }
            if (this == newest) {
                if (link != null) {
                    link.handsOver = 0;
                }
                boolean settled = welcomed && SETTLED.compareTo(host.now().since(joinedAt)) < 0;
                again =
                        means.deadlines()
                                .at(
                                        host.now().plus(settled ? Span.ZERO : TRY_AGAIN),
                                        ExecutorLink.this::connect);
                failing = true;
            }
        }

        /**
         * Its notices begin anew with each start, and of the runs of the one before none will end.
         */
        private void welcome(boolean cold, Span age) {
            welcomed = true;
            failing = false;
            move.welcomed();
            moved.accept(move.current());
            if (before != null) {
                before.outbox().closeNow();
                before = null;
            }
            if (toldAge != null && startedAnew(age)) {
                last = 0;
                host.executorStartedAnew();
            }
            toldAge = age;
            toldAt = host.now();
            lostAt = null;
            host.welcomed(cold, age);
        }

        /**
         * One that goes on is older by its whole former life than the time without a link, one that
         * started since is younger than that time: half of that life tells them apart. Its clock
         * and ours may drift as far, by pauses of one of the machines or by counting in coarse
         * steps.
         */
        private boolean startedAnew(Span age) {
            Moment away = lostAt == null ? joinedAt : lostAt;
            Span life = toldAge.plus(away.since(toldAt));
            return age.compareTo(joinedAt.since(away).plus(life.times(0.5))) < 0;
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
                return () -> {
                    host.gaugesRead(tag, values);
                    if (tag == handsOver) {
                        newest.join();
                    }
                };
            }
            if (words[0].equals("LOG") && words.length > 1) {
                String text = String.join(" ", Arrays.asList(words).subList(2, words.length));
                return notice(words[1], () -> means.log().line("the executor says: " + text));
            }
            // A whole line that means nothing here harms nothing; to close the link would cost all
            // runs time.
            return () -> means.log().line("passed over, from the executor: " + words[0]);
        }

        /** Guards against a notice read twice, on a link and again on the one that replaced it. */
        private Runnable notice(String number, Runnable news) throws Malformed {
            long n = LineParser.number(number);
            return () -> {
                if (n > last) {
                    if (n > last + 1) {
                        means.log()
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
