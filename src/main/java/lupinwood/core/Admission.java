package lupinwood.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinwood.node.CustomerId;
import lupinwood.node.Effect;
import lupinwood.node.Moment;
import lupinwood.node.Settings;
import lupinwood.node.Span;
import lupinwood.node.Track;
import lupinwood.node.TrackId;

/**
 * What may come in as a ticket: readable, known, within the protocol's bounds and in time. All else
 * is answered at once and never told to the node, whose picture of customers, waiting and cost it
 * would spoil.
 */
final class Admission {
    /** The one fault that may lie with this side: a pause, or a crowd in front of the door. */
    static final String TOO_LATE = "past its abandon time";

    /** Of one ticket alone: whoever sends it may well know the protocol otherwise. */
    static final String NO_TIME = "with a time to wait or a hint that is none";

    private static final int MOST_BODY = 2048;
    private static final int MOST_KB = 2000;

    /** Both clocks are this machine's; a ticket from further ahead would outlive its own window. */
    private static final Span AHEAD = Span.ofSeconds(0.25);

    private final Map<String, Integer> tracks = new HashMap<>();
    private final Map<String, Integer> customers = new HashMap<>();
    private final List<Track> says = new ArrayList<>();

    Admission(Settings settings) {
        number(settings, "services", tracks);
        number(settings, "customers", customers);
        for (int i = 0; i < tracks.size(); i++) {
            says.add(Track.read(settings, i));
        }
    }

    private static void number(Settings settings, String list, Map<String, Integer> places) {
        for (int i = 0; i < settings.number(list + ".count", 0); i++) {
            places.put(settings.text(list + "." + i + ".name"), i);
        }
    }

    TrackId track(Arrival arrival) {
        return new TrackId(tracks.get(Settings.word(arrival.track())));
    }

    CustomerId customer(Arrival arrival) {
        return new CustomerId(customers.getOrDefault(arrival.customer(), 0));
    }

    Span longestAbandon() {
        return says.stream().map(Track::abandon).max(Comparator.naturalOrder()).orElse(Span.ZERO);
    }

    Track says(TrackId track) {
        return says.get(track.number());
    }

    Track says(Arrival arrival) {
        return says.get(tracks.get(Settings.word(arrival.track())));
    }

    /** How long its caller waits, as told, and no longer than anyone does for its track. */
    Span waits(Arrival arrival) {
        Span abandon = says(arrival).abandon();
        return arrival.patience().isPositive() ? arrival.patience().min(abandon) : abandon;
    }

    /**
     * Why it is no sound ticket, or null; the receipt is that of an earlier try with its mark, or
     * null.
     */
    String fault(Arrival arrival, Receipts.Receipt receipt, boolean idInUse, Moment now) {
        if (arrival == null) {
            return "that can't be read";
        }
        if (!tracks.containsKey(Settings.word(arrival.track()))) {
            return "of no known track";
        }
        // Where the settings name no customers, tickets carry none, and whatever they carry tells
        // nothing.
        if (!customers.isEmpty() && !customers.containsKey(arrival.customer())) {
            return "of no known customer";
        }
        if (idInUse) {
            return "named like another";
        }
        Track track = says(arrival);
        if (track.effect() == Effect.RECEIPTED != (arrival.receipt() != null)) {
            return "with a mark on the wrong track, or without one";
        }
        if (receipt != null
                && receipt.body != null
                && !Arrays.equals(receipt.body, arrival.body())) {
            return "with the mark of another";
        }
        if (now.plus(AHEAD).isBefore(arrival.reached())) {
            return "from the future";
        }
        if (arrival.patience().equals(Arrival.NO_TIME) || arrival.work().equals(Arrival.NO_TIME)) {
            return NO_TIME;
        }
        if (!now.isBefore(arrival.reached().plus(waits(arrival)))) {
            return TOO_LATE;
        }
        boolean sound =
                arrival.memoryKb() > 0
                        && arrival.memoryKb() < MOST_KB
                        && arrival.rank() >= 0
                        && arrival.rank() < 1
                        && arrival.body().length <= MOST_BODY;
        return sound ? null : "out of bounds";
    }
}
