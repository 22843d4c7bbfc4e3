package lupinwood.simulator;

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
import lupinwood.admission.AdmissionPolicy;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.Outcome;
import lupinwood.admission.Request;
import lupinwood.admission.RequestClassId;
import lupinwood.admission.RequestId;
import lupinwood.admission.RequestListener;
import lupinwood.admission.ResourceUsage;
import lupinwood.admission.ServerActions;
import lupinwood.admission.SubjectId;
import lupinwood.admission.TenantId;
import lupinwood.admission.UpstreamId;

/** Plays batches from the simulator against one node for each instance. */
public final class SimulatorAdapter {
    /** Makes the node of a machine that starts, from its settings. */
    public interface PolicyFactory {
        AdmissionPolicy make(ServerActions server, long seed, Map<String, String> settings);
    }

    private static final int EVENT_START = 16;
    private static final int EVENT_REQUEST = 17;
    private static final int EVENT_ENDED = 18;
    private static final int EVENT_NEEDS_CALL = 19;
    private static final int EVENT_CALL_ENDED = 20;
    private static final int EVENT_LEAVE = 21;
    private static final int EVENT_WAKE = 23;
    private static final int EVENT_KILLED = 24;
    private static final int CODE_DIE = 91;
    private static final int RECORD_HEADER = 5;
    private static final int CLOCK = 8;

    private final PolicyFactory maker;
    private final Map<Integer, SimulatedNode> instances = new TreeMap<>();
    private final BatchReply reply = new BatchReply();

    /** The instances with news in this batch, in the order of their first event. */
    private final Set<SimulatedNode> stirred = new LinkedHashSet<>();

    public SimulatorAdapter(PolicyFactory maker) {
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
        MonotonicTime now = new MonotonicTime(bytes.getLong());
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
            RecordReader fields = new RecordReader(bytes.slice(bytes.position(), (int) length));
            bytes.position(bytes.position() + (int) length);
            if (code >= EVENT_START && code <= EVENT_KILLED) {
                event(code, fields, now);
            }
        }
        for (SimulatedNode instance : stirred) {
            guarded(instance, instance.node::decide);
        }
        return reply.finish();
    }

    private void event(int code, RecordReader fields, MonotonicTime now) throws MalformedFrame {
        int number = fields.u16();
        if (code == EVENT_START || code == EVENT_KILLED) {
            stirred.remove(instances.remove(number));
        }
        if (code == EVENT_START) {
            start(number, fields, now);
            return;
        }
        SimulatedNode instance = instances.get(number);
        if (instance == null || instance.node == null) {
            return;
        }
        instance.now = now;
        stirred.add(instance);
        guarded(instance, () -> tell(instance, code, fields));
    }

    private void start(int number, RecordReader fields, MonotonicTime now) throws MalformedFrame {
        long seed = fields.u64();
        Map<String, String> settings = new TreeMap<>();
        for (String line : fields.text().split("\n", 0)) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                settings.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
            }
        }
        List<String> resourceUsage = List.of(settings.getOrDefault("domain.gauges", "").split(","));
        SimulatedNode instance = new SimulatedNode(number, now, reply, resourceUsage);
        instances.put(number, instance);
        guarded(instance, () -> instance.node = maker.make(instance, seed, settings));
        if (instance.node != null) {
            stirred.add(instance);
        }
    }

    private static void tell(SimulatedNode instance, int code, RecordReader fields) {
        AdmissionPolicy node = instance.node;
        switch (code) {
            case EVENT_REQUEST -> {
                Request request = request(fields);
                RequestListener handle = node.admit(request);
                if (!handle.isFinished()) {
                    instance.handles.put(request.id().number(), handle);
                }
            }
            case EVENT_LEAVE -> node.drain(new NanoDuration(fields.u64()));
            case EVENT_WAKE -> node.wake(resourceUsage(fields, instance.resourceUsage));
            default -> {
                RequestListener handle = instance.handles.get(fields.u32());
                if (handle != null) {
                    tell(handle, code, fields);
                }
            }
        }
    }

    private static void tell(RequestListener handle, int code, RecordReader fields) {
        switch (code) {
            case EVENT_ENDED -> {
                Outcome outcome = outcome(fields.u16());
                handle.onCompleted(outcome, new NanoDuration(fields.u64()));
            }
            case EVENT_NEEDS_CALL -> handle.onCallNeeded();
            case EVENT_CALL_ENDED -> {
                NanoDuration took = new NanoDuration(fields.u64());
                handle.onCallCompleted(outcome(fields.u16()), took);
            }
            default -> handle.onClientGone();
        }
    }

    private static Request request(RecordReader fields) {
        RequestId id = new RequestId(fields.u32());
        RequestClassId classId = new RequestClassId(fields.u8());
        TenantId tenantId = new TenantId((int) fields.u32());
        SubjectId subject = new SubjectId(fields.u64());
        NanoDuration clientTimeout = new NanoDuration(fields.u64());
        NanoDuration work = new NanoDuration(fields.u64());
        double memoryKb = fields.f32();
        double rank = fields.f32();
        int marks = fields.u16();
        boolean hinted = (marks & 1) != 0;
        UpstreamId upstreamId = new UpstreamId(fields.u16());
        NanoDuration waited = new NanoDuration(fields.u64());
        long original = fields.u32();
        return new Request(
                id,
                classId,
                tenantId,
                subject,
                upstreamId,
                clientTimeout,
                hinted ? work : NanoDuration.ZERO,
                memoryKb,
                rank,
                (marks & 2) != 0,
                waited,
                original == 0 ? null : new RequestId(original));
    }

    private static ResourceUsage resourceUsage(RecordReader fields, List<String> names) {
        fields.u32(); // the timer's tag: a node is woken for whatever is due
        double[] values = new double[fields.u8()];
        for (int i = 0; i < values.length; i++) {
            values[i] = fields.f32();
        }
        return ResourceUsage.named(names, values);
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
    private void guarded(SimulatedNode instance, Runnable step) {
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
