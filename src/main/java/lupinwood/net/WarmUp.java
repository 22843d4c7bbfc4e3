package lupinwood.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import lupinwood.core.Answer;
import lupinwood.core.ConnectionId;
import lupinwood.core.Deadlines;
import lupinwood.core.Dispatchers;
import lupinwood.core.Ending;
import lupinwood.core.Executor;
import lupinwood.core.Host;
import lupinwood.core.Index;
import lupinwood.core.TryId;
import lupinwood.node.Moment;
import lupinwood.node.Settings;
import lupinwood.node.Span;

/**
 * Plays made-up tickets through a host of its own before the door opens, so that the JVM has loaded
 * and compiled most of what the first real ones need. Nothing of it leaves the process or is kept.
 */
final class WarmUp implements Dispatchers, Executor, Index {
    /**
     * Twice the 200 calls after which the JVM compiles a method: each that a ticket calls once is
     * compiled by then. More only holds the door shut.
     */
    static final int TICKETS = 400;

    private static final long LONGEST_NANOS = 800_000_000L;
    static final int AT_ONCE = 8;
    private static final byte[] BODY = "warm".getBytes(StandardCharsets.UTF_8);

    private final Deadlines deadlines = new Deadlines();
    private final RespParser arrays = new RespParser();
    private final LineParser lines = new LineParser(words -> words[0].equals("EXIT"));
    private final Deque<TryId> running = new ArrayDeque<>();
    private final Deque<TryId> calling = new ArrayDeque<>();
    private final List<String> tracks = new ArrayList<>();
    private final List<String> customers = new ArrayList<>();
    private final List<Boolean> receipted = new ArrayList<>();
    private final Host host;
    private Moment now = Decider.clock();
    private int tag;
    private int answers;

    private WarmUp(Map<String, String> settings, long seed, Host.Maker maker) {
        Settings read = new Settings(settings);
        for (int i = 0; i < read.number("services.count", 0); i++) {
            tracks.add(read.text("services." + i + ".name"));
            receipted.add(read.is("services." + i + ".effect", "token"));
        }
        for (int i = 0; i < read.number("customers.count", 0); i++) {
            customers.add(read.text("customers." + i + ".name"));
        }
        host =
                new Host(
                        settings,
                        seed,
                        maker,
                        new Host.Ports(this, this, this, line -> {}),
                        deadlines,
                        new Host.Bounds(64, 1024, 1024, 1 << 16),
                        now);
    }

    /** Returns how many answers there were. */
    static int play(Map<String, String> settings, long seed, Host.Maker maker) {
        return play(settings, seed, maker, System::nanoTime);
    }

    /**
     * Returns how many answers there were.
     *
     * @param steady in nanoseconds, never back
     */
    static int play(
            Map<String, String> settings, long seed, Host.Maker maker, LongSupplier steady) {
        WarmUp warmUp = new WarmUp(settings, seed, maker);
        long begun = steady.getAsLong();
        try {
            warmUp.host.welcomed(false, Span.ZERO);
            ConnectionId connection = warmUp.host.connected();
            while (warmUp.tag < TICKETS && steady.getAsLong() - begun < LONGEST_NANOS) {
                warmUp.round(connection);
            }
        } catch (Malformed e) {
            throw new IllegalStateException("a made-up message can't be read", e);
        }
        return warmUp.answers;
    }

    private void round(ConnectionId connection) throws Malformed {
        now = now.plus(Span.ofSeconds(0.02));
        host.advance(now);
        for (int i = 0; i < AT_ONCE; i++) {
            int track = ++tag % tracks.size();
            String owner =
                    customers.isEmpty() ? "" : ",owner=" + customers.get(tag % customers.size());
            String fields =
                    String.format(
                            "req=%016x,ts=%d,via=1%s,need=20.5,level=0.5%s",
                            tag,
                            now.nanos() / 1_000_000,
                            owner,
                            receipted.get(track) ? ",opkey=" + Integer.toHexString(tag / 2) : "");
            String text = "*5\r\n";
            for (String item : List.of("REQ", "" + tag, tracks.get(track), fields, "warm")) {
                text += "$" + item.getBytes(StandardCharsets.UTF_8).length + "\r\n" + item + "\r\n";
            }
            List<byte[]> items =
                    arrays.next(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
            host.arrived(connection, tag, DispatcherListener.arrival(items));
        }
        settle();
        for (int left = running.size(); left > 0; left--) {
            TryId id = running.poll();
            if (tag % 3 > 0) {
                host.calledOut(id, BODY);
            } else {
                exit(id);
            }
        }
        settle();
        while (!calling.isEmpty()) {
            host.callEnded(calling.peek(), Ending.WELL, BODY);
            exit(calling.poll());
        }
        settle();
    }

    private void exit(TryId id) throws Malformed {
        lines.next(
                ByteBuffer.wrap(
                        ("EXIT 1 " + id.digits() + " OK 5 4\r\nwarm\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
        host.exited(id, Ending.WELL, Span.ofSeconds(0.005), BODY);
    }

    private void settle() {
        deadlines.ring(now);
        host.settle();
    }

    @Override
    public void answer(ConnectionId connection, long to, Answer answer) {
        answers++;
    }

    @Override
    public void sayNoMore(ConnectionId connection) {
        // Nobody is there to hear it.
    }

    @Override
    public void readNoMore(ConnectionId connection) {
        // Nothing comes but what is made up here.
    }

    @Override
    public void close(ConnectionId connection, Ending why) {
        // There is nothing to close.
    }

    @Override
    public boolean run(TryId id, String track, byte[] body) {
        return running.add(id);
    }

    @Override
    public boolean giveReply(TryId id, byte[] reply) {
        return true;
    }

    @Override
    public boolean stop(TryId id) {
        return running.remove(id);
    }

    @Override
    public boolean skipCall(TryId id) {
        return true;
    }

    @Override
    public void askGauges(long asked) {
        host.gaugesRead(asked, new double[] {0.5, 1, 0.1, 1});
    }

    @Override
    public void checkDeep(long asked) {
        // No deep check is made up.
    }

    @Override
    public void call(TryId id, Span cap, byte[] body) {
        calling.add(id);
    }

    @Override
    public void giveUp(TryId id) {
        calling.remove(id);
    }
}
