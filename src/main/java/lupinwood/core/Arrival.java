package lupinwood.core;

import lupinwood.node.CallerId;
import lupinwood.node.Moment;
import lupinwood.node.SubjectId;

/**
 * A ticket as a dispatcher sent it.
 *
 * @param track the track's name, as it came
 * @param customer the customer's name, as it came
 * @param reached when it came to the machine, by the clock that stamped it
 * @param receipt null where the ticket carries none
 * @param body the bytes as they came
 */
public record Arrival(
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

    /** The same, with that moment told by another clock. */
    Arrival reachedAt(Moment moment) {
        return new Arrival(tryId, track, customer, subject, caller, moment, memoryKb, rank, receipt, body);
    }
}
