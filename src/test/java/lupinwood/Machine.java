package lupinwood;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import lupinwood.node.CallerId;
import lupinwood.node.CustomerId;
import lupinwood.node.Gauges;
import lupinwood.node.Handle;
import lupinwood.node.Moment;
import lupinwood.node.Outcome;
import lupinwood.node.Server;
import lupinwood.node.Span;
import lupinwood.node.SubjectId;
import lupinwood.node.Ticket;
import lupinwood.node.TicketId;
import lupinwood.node.TrackId;

/** A machine played by hand: its clock, its settings, and the trace of what its Brain decided. */
public final class Machine implements Server {
    static final int PURE = 0;
    static final int RECEIPTED = 1;
    static final int EFFECTFUL = 2;
    static final int LOCAL = 3;

    public final Map<String, String> settings = new TreeMap<>();
    final List<String> trace = new ArrayList<>();
    final Map<Long, Handle> handles = new HashMap<>();

    /** Who listens to each decision, to check it by another reckoning. */
    Consumer<String> listener = line -> {};

    final TreeMap<Long, Integer> wakes = new TreeMap<>();
    private long nanos = 1_000_000_000L;
    private long nextId = 1;
    Gauges gauges = Gauges.UNKNOWN;
    Span patience = Span.ZERO;

    /** How long each ticket's latest call may take. */
    final Map<Long, Span> caps = new HashMap<>();

    Brain brain;

    /**
     * Two cores, four tracks (pure, receipted and effectful that call, and one that never does).
     */
    public Machine() {
        set(
                "domain.cpus=2 domain.memory_kb=100000 domain.run_mem_factor=4 domain.entry_kb=1"
                        + " domain.below=one_for_all domain.calls_out=2"
                        + " domain.class_calls=true,true,true,false domain.linger_ns=200000000"
                        + " domain.stop_mode=off domain.advert=off step_ns=1000000 rules.fall_multiple=5"
                        + " rules.fall_ns=2000000000 rules.drain_grace_ns=1000000000 services.count=4"
                        + " bounds.max_retry_after_ns=1000000000");
        String[] effects = {"pure", "token", "side_effect", "pure"};
        for (int i = 0; i < effects.length; i++) {
            String at = " services." + i + ".";
            set(
                    (at
                                    + "effect="
                                    + effects[i]
                                    + at
                                    + "aim_ns=2000000000"
                                    + at
                                    + "give_up_ns=5000000000"
                                    + at
                                    + "window_ns=8000000000"
                                    + at
                                    + "worth=1")
                            .strip());
        }
    }

    public Machine set(String pairs) {
        for (String pair : pairs.split(" ", 0)) {
            settings.put(
                    pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        return this;
    }

    Machine start() {
        brain = new Brain(this, 7, settings);
        brain.settle();
        trace.clear();
        return this;
    }

    long arrive(int track) {
        return arrive(track, 0, 10, 0);
    }

    long arrive(int track, long original, double memoryKb, int customer) {
        long id = nextId++;
        TicketId repeats = original == 0 ? null : new TicketId(original);
        handles.put(
                id,
                brain.take(
                        new Ticket(
                                new TicketId(id),
                                new TrackId(track),
                                new CustomerId(customer),
                                new SubjectId(0),
                                new CallerId(1),
                                patience,
                                Span.ZERO,
                                memoryKb,
                                0.5,
                                false,
                                Span.ZERO,
                                repeats)));
        brain.settle();
        return id;
    }

    void tell(long id, Consumer<Handle> news) {
        news.accept(handles.get(id));
        brain.settle();
    }

    void end(long id) {
        tell(id, handle -> handle.ended(Outcome.OK, Span.ZERO));
    }

    /** A ticket comes to its call, and the call ends so after so long. */
    void call(long id, int millis, Outcome outcome) {
        tell(id, Handle::needsCall);
        pass(millis);
        tell(id, handle -> handle.callEnded(outcome, Span.ofSeconds(millis / 1e3)));
    }

    void calm(int millis) {
        for (int i = 0; i < 8; i++) {
            long id = arrive(PURE);
            call(id, millis, Outcome.OK);
            end(id);
        }
        trace.clear();
    }

    void pass(int millis) {
        long until = nanos + millis * 1_000_000L;
        while (!wakes.isEmpty() && wakes.firstKey() <= until) {
            nanos = Math.max(nanos, wakes.pollFirstEntry().getKey());
            brain.wake(gauges);
            brain.settle();
        }
        nanos = until;
    }

    String printed() {
        return String.join("\n", trace) + "\n";
    }

    private void say(String line) {
        listener.accept(line);
        trace.add(String.format(Locale.ROOT, "%d %s", (nanos - 1_000_000_000L) / 1_000_000, line));
    }

    @Override
    public Moment now() {
        return new Moment(nanos);
    }

    @Override
    public void run(TicketId ticket) {
        say("run " + ticket.number());
    }

    @Override
    public void stop(TicketId ticket) {
        say("stop " + ticket.number());
    }

    @Override
    public void bounce(TicketId ticket, boolean askNoOther, Span comeBackAfter) {
        say(
                "bounce "
                        + ticket.number()
                        + (comeBackAfter.isPositive() ? ", come back later" : "")
                        + (askNoOther ? ", ask no other" : ""));
    }

    @Override
    public void fail(TicketId ticket) {
        say("fail " + ticket.number());
    }

    @Override
    public void call(TicketId ticket, Span cap) {
        caps.put(ticket.number(), cap);
        say("call " + ticket.number());
    }

    @Override
    public void skipCall(TicketId ticket) {
        say("skip the call of " + ticket.number());
    }

    @Override
    public void reuse(TicketId ticket) {
        say("reuse for " + ticket.number());
    }

    @Override
    public void remember(TicketId ticket, Span span) {
        say("remember " + ticket.number());
    }

    @Override
    public void forget(TicketId ticket) {
        say("forget " + ticket.number());
    }

    @Override
    public void health(boolean good, boolean fromStore) {
        say("health " + (good ? "good" : "bad"));
    }

    @Override
    public void advise(double value) {
        say(String.format(Locale.ROOT, "advise %.2f", value));
    }

    @Override
    public void closeIdle(Span idle) {
        say(String.format(Locale.ROOT, "close idle after %.2f", idle.seconds()));
    }

    @Override
    public void wakeAt(Moment moment) {
        if (moment.nanos() <= nanos) {
            throw new IllegalArgumentException("a wake-up in the past is never heard");
        }
        wakes.merge(moment.nanos(), 1, Integer::sum);
    }

    @Override
    public void over(TicketId ticket) {
        listener.accept("over " + ticket.number());
    }

    @Override
    public void log(String line) {
        say("log " + line);
    }
}
