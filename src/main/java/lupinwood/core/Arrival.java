package lupinwood.core;

import lupinwood.node.CallerId;
import lupinwood.node.Moment;
import lupinwood.node.Span;
import lupinwood.node.SubjectId;

/**
 * A ticket as a dispatcher sent it.
 *
 * @param track the track's name, as it came
 * @param customer the customer's name, as it came
 * @param patience how long from then its caller waits; zero where that isn't told
 * @param work the hint of its cost on a standard core; zero where there is none
 * @param repeat it was marked as a further try or a second copy of another
 * @param reached when it came to the machine, by the clock that stamped it
 * @param receipt null where the ticket carries none
 * @param body the bytes as they came
 */
@SuppressWarnings("ArrayRecordComponent") // handed over once and never compared
public record Arrival(
        TryId tryId,
        String track,
        String customer,
        SubjectId subject,
        CallerId caller,
        Span patience,
        Span work,
        boolean repeat,
        Moment reached,
        double memoryKb,
        double rank,
        ReceiptKey receipt,
        byte[] body) {

    /**
     * What stands for a time that was told and is none: no figure, none above zero, or out of all
     * bounds.
     */
    public static final Span NO_TIME = new Span(-1);

    /** One that tells only what every ticket does. */
    public Arrival(
            TryId tryId,
            String track,
            String customer,
            SubjectId subject,
            CallerId caller,
            Moment reached,
            double memoryKb,
            double rank,
            ReceiptKey receipt,
            byte[] body) {
        this(
                tryId, track, customer, subject, caller, Span.ZERO, Span.ZERO, false, reached,
                memoryKb, rank, receipt, body);
    }

    /** The same, with that moment told by another clock. */
    Arrival reachedAt(Moment moment) {
        return new Arrival(
                tryId, track, customer, subject, caller, patience, work, repeat, moment, memoryKb,
                rank, receipt, body);
    }
}
