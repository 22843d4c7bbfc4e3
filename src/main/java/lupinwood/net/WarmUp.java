package lupinwood.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SettingsMap;
import lupinwood.processing.AttemptId;
import lupinwood.processing.Completion;
import lupinwood.processing.ConnectionId;
import lupinwood.processing.Dependency;
import lupinwood.processing.Executor;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.Response;
import lupinwood.processing.TableLimits;
import lupinwood.processing.TimerService;
import lupinwood.processing.UpstreamConnections;

/**
 * Plays made-up requests through a host of its own before the listener opens, so that the JVM has
 * loaded and compiled most of what the first real ones need. Nothing of it leaves the process or is
 * kept.
 */
final class WarmUp implements UpstreamConnections, Executor, Dependency {
    /**
     * Twice the 200 calls after which the JVM compiles a method: each that a request calls once is
     * compiled by then. More only holds the listener shut.
     */
    static final int REQUESTS = 400;

    private static final long LONGEST_NANOS = 800_000_000L;
    static final int AT_ONCE = 8;
    private static final byte[] BODY = "warm".getBytes(StandardCharsets.UTF_8);

    private final TimerService deadlines = new TimerService();
    private final RespParser arrays = new RespParser();
    private final LineParser lines = new LineParser(words -> words[0].equals("EXIT"));
    private final Deque<AttemptId> running = new ArrayDeque<>();
    private final Deque<AttemptId> calling = new ArrayDeque<>();
    private final List<String> requestClasses = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();
    private final List<Boolean> idempotent = new ArrayList<>();
    private final RequestProcessor processor;
    private MonotonicTime now = EventLoop.clock();
    private int tag;
    private int answers;

    private WarmUp(Map<String, String> settings, long seed, RequestProcessor.PolicyFactory maker) {
        SettingsMap read = new SettingsMap(settings);
        for (int i = 0; i < read.number("services.count", 0); i++) {
            requestClasses.add(read.text("services." + i + ".name"));
            idempotent.add(read.is("services." + i + ".effect", "token"));
        }
        for (int i = 0; i < read.number("customers.count", 0); i++) {
            tenants.add(read.text("customers." + i + ".name"));
        }
        processor =
                new RequestProcessor(
                        settings,
                        seed,
                        maker,
                        new RequestProcessor.Ports(this, this, this, line -> {}),
                        deadlines,
                        new TableLimits(64, 1024, 1024, 1 << 16),
                        now);
    }

    /** Returns how many answers there were. */
    static int play(Map<String, String> settings, long seed, RequestProcessor.PolicyFactory maker) {
        return play(settings, seed, maker, System::nanoTime);
    }

    /**
     * Returns how many answers there were.
     *
     * @param steady in nanoseconds, never back
     */
    static int play(
            Map<String, String> settings,
            long seed,
            RequestProcessor.PolicyFactory maker,
            LongSupplier steady) {
        WarmUp warmUp = new WarmUp(settings, seed, maker);
        long begun = steady.getAsLong();
        try {
            warmUp.processor.onExecutorConnected(false, NanoDuration.ZERO);
            ConnectionId connection = warmUp.processor.addConnection();
            while (warmUp.tag < REQUESTS && steady.getAsLong() - begun < LONGEST_NANOS) {
                warmUp.round(connection);
            }
        } catch (ProtocolException e) {
            throw new IllegalStateException("a made-up message can't be read", e);
        }
        return warmUp.answers;
    }

    private void round(ConnectionId connection) throws ProtocolException {
        now = now.plus(NanoDuration.ofSeconds(0.02));
        processor.advance(now);
        for (int i = 0; i < AT_ONCE; i++) {
            int classIndex = ++tag % requestClasses.size();
            String owner = tenants.isEmpty() ? "" : ",owner=" + tenants.get(tag % tenants.size());
            String fields =
                    String.format(
                            "req=%016x,ts=%d,via=1%s,need=20.5,level=0.5%s",
                            tag,
                            now.nanos() / 1_000_000,
                            owner,
                            idempotent.get(classIndex)
                                    ? ",opkey=" + Integer.toHexString(tag / 2)
                                    : "");
            String text = "*5\r\n";
            for (String item :
                    List.of("REQ", "" + tag, requestClasses.get(classIndex), fields, "warm")) {
                text += "$" + item.getBytes(StandardCharsets.UTF_8).length + "\r\n" + item + "\r\n";
            }
            List<byte[]> items =
                    arrays.next(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
            processor.arrived(connection, tag, RespListener.arrival(items));
        }
        settle();
        for (int left = running.size(); left > 0; left--) {
            AttemptId id = running.poll();
            if (tag % 3 > 0) {
                processor.onCallNeeded(id, BODY);
            } else {
                exit(id);
            }
        }
        settle();
        while (!calling.isEmpty()) {
            processor.callEnded(calling.peek(), Completion.WELL, BODY);
            exit(calling.poll());
        }
        settle();
    }

    private void exit(AttemptId id) throws ProtocolException {
        lines.next(
                ByteBuffer.wrap(
                        ("EXIT 1 " + id.digits() + " OK 5 4\r\nwarm\r\n")
                                .getBytes(StandardCharsets.US_ASCII)));
        processor.onRunCompleted(id, Completion.WELL, NanoDuration.ofSeconds(0.005), BODY);
    }

    private void settle() {
        deadlines.runDue(now);
        processor.settle();
    }

    @Override
    public void answer(ConnectionId connection, long to, Response answer) {
        answers++;
    }

    @Override
    public void requestClose(ConnectionId connection) {
        // Nobody is there to hear it.
    }

    @Override
    public void stopReading(ConnectionId connection) {
        // Nothing comes but what is made up here.
    }

    @Override
    public void close(ConnectionId connection, Completion why) {
        // There is nothing to close.
    }

    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        return running.add(id);
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        return true;
    }

    @Override
    public boolean stop(AttemptId id) {
        return running.remove(id);
    }

    @Override
    public boolean skipCall(AttemptId id) {
        return true;
    }

    @Override
    public void askResourceUsage(long requested) {
        processor.resourceUsageRead(requested, new double[] {0.5, 1, 0.1, 1});
    }

    @Override
    public void checkDeep(long requested) {
        // No deep check is made up.
    }

    @Override
    public void call(AttemptId id, NanoDuration cap, byte[] body) {
        calling.add(id);
    }

    @Override
    public void cancelCall(AttemptId id) {
        calling.remove(id);
    }
}
