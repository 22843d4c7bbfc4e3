package lupinwood.sim;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import lupinwood.node.CallerId;
import lupinwood.node.CustomerId;
import lupinwood.node.Gauges;
import lupinwood.node.Handle;
import lupinwood.node.Moment;
import lupinwood.node.Node;
import lupinwood.node.Outcome;
import lupinwood.node.Server;
import lupinwood.node.Span;
import lupinwood.node.SubjectId;
import lupinwood.node.Ticket;
import lupinwood.node.TicketId;
import lupinwood.node.TrackId;

/** Plays batches from the simulator against one node for each instance. */
public final class Drill {
    /** Makes the node of a machine that starts, from its settings. */
    public interface Maker {
        Node make(Server server, long seed, Map<String, String> settings);
    }

    private static final int EVENT_START = 16;
    private static final int EVENT_TICKET = 17;
    private static final int EVENT_ENDED = 18;
    private static final int EVENT_NEEDS_CALL = 19;
    private static final int EVENT_CALL_ENDED = 20;
    private static final int EVENT_LEAVE = 21;
    private static final int EVENT_WAKE = 23;
    private static final int EVENT_KILLED = 24;
    private static final int CODE_DIE = 91;
    private static final int RECORD_HEADER = 5;
    private static final int CLOCK = 8;

    private final Maker maker;
    private final Map<Integer, Instance> instances = new TreeMap<>();
    private final Reply reply = new Reply();

    /** The instances with news in this batch, in the order of their first event. */
    private final Set<Instance> stirred = new LinkedHashSet<>();

    public Drill(Maker maker) {
        this.maker = maker;
    }

    public void play(InputStream input, OutputStream output) throws IOException {
        DataInputStream in = new DataInputStream(new BufferedInputStream(input, 1 << 16));
        OutputStream out = new BufferedOutputStream(output, 1 << 16);
        byte[] frame = new byte[1 << 16];
        for (int first = in.read(); first >= 0; first = in.read()) {
            long length = (first & 0xffL) << 24 | rest(in);
            if (length < CLOCK || length > Integer.MAX_VALUE - CLOCK) {
                throw new MalformedFrame("a batch cannot be " + length + " bytes long");
            }
            if (frame.length < length) {
                frame = new byte[(int) length];
            }
            int got = in.readNBytes(frame, 0, (int) length);
            if (got < length) {
                throw new MalformedFrame(
                        "the input ended " + (length - got) + " bytes short of a batch");
            }
            ByteBuffer answer = batch(ByteBuffer.wrap(frame, 0, (int) length));
            out.write(answer.array(), 0, answer.limit());
            out.flush();
        }
    }

    private static long rest(DataInputStream in) throws IOException {
        byte[] rest = in.readNBytes(3);
        if (rest.length < 3) {
            throw new MalformedFrame("the input ended inside a batch's length");
        }
        return (rest[0] & 0xffL) << 16 | (rest[1] & 0xffL) << 8 | (rest[2] & 0xffL);
    }

    private ByteBuffer batch(ByteBuffer bytes) throws MalformedFrame {
        reply.clear();
        stirred.clear();
        Moment now = new Moment(bytes.getLong());
        while (bytes.hasRemaining()) {
            if (bytes.remaining() < RECORD_HEADER) {
                throw new MalformedFrame("a record's header runs past the end of its batch");
            }
            int code = bytes.get() & 0xff;
            long length = bytes.getInt() & 0xffffffffL;
            if (length > bytes.remaining()) {
                throw new MalformedFrame(
                        "a record of " + length + " bytes runs past the end of its batch");
            }
            Fields fields = new Fields(bytes.slice(bytes.position(), (int) length));
            bytes.position(bytes.position() + (int) length);
            if (code >= EVENT_START && code <= EVENT_KILLED) {
                event(code, fields, now);
            }
        }
        for (Instance instance : stirred) {
            guarded(instance, instance.node::settle);
        }
        return reply.finish();
    }

    private void event(int code, Fields fields, Moment now) throws MalformedFrame {
        int number = fields.u16();
        if (code == EVENT_START || code == EVENT_KILLED) {
            stirred.remove(instances.remove(number));
        }
        if (code == EVENT_START) {
            start(number, fields, now);
            return;
        }
        Instance instance = instances.get(number);
        if (instance == null || instance.node == null) {
            return;
        }
        instance.now = now;
        stirred.add(instance);
        guarded(instance, () -> tell(instance, code, fields));
    }

    private void start(int number, Fields fields, Moment now) throws MalformedFrame {
        long seed = fields.u64();
        Map<String, String> settings = new TreeMap<>();
        for (String line : fields.text().split("\n", 0)) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                settings.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
            }
        }
        List<String> gauges = List.of(settings.getOrDefault("domain.gauges", "").split(","));
        Instance instance = new Instance(number, now, reply, gauges);
        instances.put(number, instance);
        guarded(instance, () -> instance.node = maker.make(instance, seed, settings));
        if (instance.node != null) {
            stirred.add(instance);
        }
    }

    private static void tell(Instance instance, int code, Fields fields) {
        Node node = instance.node;
        switch (code) {
            case EVENT_TICKET -> {
                Ticket ticket = ticket(fields);
                Handle handle = node.take(ticket);
                if (!handle.isOver()) {
                    instance.handles.put(ticket.id().number(), handle);
                }
            }
            case EVENT_LEAVE -> node.leave(new Span(fields.u64()));
            case EVENT_WAKE -> node.wake(gauges(fields, instance.gauges));
            default -> {
                Handle handle = instance.handles.get(fields.u32());
                if (handle != null) {
                    tell(handle, code, fields);
                }
            }
        }
    }

    private static void tell(Handle handle, int code, Fields fields) {
        switch (code) {
            case EVENT_ENDED -> {
                Outcome outcome = outcome(fields.u16());
                handle.ended(outcome, new Span(fields.u64()));
            }
            case EVENT_NEEDS_CALL -> handle.needsCall();
            case EVENT_CALL_ENDED -> {
                Span took = new Span(fields.u64());
                handle.callEnded(outcome(fields.u16()), took);
            }
            default -> handle.left();
        }
    }

    private static Ticket ticket(Fields fields) {
        TicketId id = new TicketId(fields.u32());
        TrackId track = new TrackId(fields.u8());
        CustomerId customer = new CustomerId((int) fields.u32());
        SubjectId subject = new SubjectId(fields.u64());
        Span patience = new Span(fields.u64());
        Span work = new Span(fields.u64());
        double memoryKb = fields.f32();
        double rank = fields.f32();
        int marks = fields.u16();
        boolean hinted = (marks & 1) != 0;
        CallerId caller = new CallerId(fields.u16());
        Span waited = new Span(fields.u64());
        long original = fields.u32();
        return new Ticket(
                id,
                track,
                customer,
                subject,
                caller,
                patience,
                hinted ? work : Span.ZERO,
                memoryKb,
                rank,
                (marks & 2) != 0,
                waited,
                original == 0 ? null : new TicketId(original));
    }

    private static Gauges gauges(Fields fields, List<String> names) {
        fields.u32(); // the timer's tag: a node is woken for whatever is due
        double[] values = new double[fields.u8()];
        for (int i = 0; i < values.length; i++) {
            values[i] = fields.f32();
        }
        return Gauges.named(names, values);
    }

    private static Outcome outcome(int code) {
        return switch (code) {
            case 0 -> Outcome.OK;
            case 11 -> Outcome.REFUSED;
            case 104 -> Outcome.BROKEN;
            case 110 -> Outcome.TIMED_OUT;
            case 111 -> Outcome.UNREACHABLE;
            case 114 -> Outcome.MOOT;
            case 125 -> Outcome.CANCELLED;
            default -> Outcome.ERROR;
        };
    }

    /**
     * A node that throws has failed; the simulator is told so instead of whatever it had begun to
     * say.
     */
    private void guarded(Instance instance, Runnable step) {
        int position = reply.position();
        int records = reply.records();
        try {
            step.run();
        } catch (RuntimeException e) {
            reply.rewind(position, records);
            reply.record(
                    CODE_DIE,
                    instance.number,
                    e
                            + " at "
                            + (e.getStackTrace().length > 0
                                    ? e.getStackTrace()[0]
                                    : "an unknown place"));
        }
    }
}
