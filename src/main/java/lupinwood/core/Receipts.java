package lupinwood.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.node.Moment;
import lupinwood.node.TicketId;

/**
 * The receipted tickets remembered here, with the results of those that ran, bounded in number and
 * in bytes. When bodies and results outgrow their bound the oldest lose theirs; the receipt itself
 * stays, so a repeat is still known and never runs. When there are too many, no more are taken.
 */
final class Receipts {
    /** One remembered ticket. */
    static final class Receipt {
        final ReceiptKey key;
        final TicketId ticket;

        /** By the clock that stamps tickets. */
        final Moment ends;

        /** Null once it was dropped for want of room. */
        byte[] body;

        /** Null before the run went well, or once it was dropped for want of room. */
        byte[] result;

        boolean over;

        /** Repeats that wait for the result. */
        final List<TicketId> waiting = new ArrayList<>();

        private Receipt(ReceiptKey key, TicketId ticket, Moment ends, byte[] body) {
            this.key = key;
            this.ticket = ticket;
            this.ends = ends;
            this.body = body;
        }

        private int size() {
            return (body == null ? 0 : body.length) + (result == null ? 0 : result.length);
        }
    }

    private final Map<ReceiptKey, Receipt> byKey = new HashMap<>();
    private final Map<TicketId, Receipt> byTicket = new HashMap<>();

    /**
     * Those that are over and still have their bytes, the oldest first: what is dropped is found in
     * one step.
     */
    private final Set<Receipt> heavy = new LinkedHashSet<>();

    private final int most;
    private final long mostBytes;
    private long bytes;

    Receipts(int most, long mostBytes) {
        this.most = most;
        this.mostBytes = mostBytes;
    }

    boolean isFull() {
        return byTicket.size() >= most;
    }

    /** The receipt that a ticket which came at this moment repeats, or null. */
    Receipt find(ReceiptKey key, Moment reached) {
        Receipt known = key == null ? null : byKey.get(key);
        return known != null && reached.isBefore(known.ends) ? known : null;
    }

    Receipt of(TicketId ticket) {
        return byTicket.get(ticket);
    }

    Receipt remember(ReceiptKey key, TicketId ticket, Moment ends, byte[] body) {
        // One before, past its window, may still run and have repeats that wait for it; it goes at
        // its own time.
        Receipt receipt = new Receipt(key, ticket, ends, body);
        byKey.put(key, receipt);
        byTicket.put(ticket, receipt);
        bytes += receipt.size();
        fit();
        return receipt;
    }

    void keepResult(Receipt receipt, byte[] result) {
        if (byTicket.get(receipt.ticket) == receipt) {
            receipt.result = result;
            bytes += result.length;
            fit();
        }
    }

    /** It runs no more: its bytes may go. */
    void over(Receipt receipt) {
        receipt.over = true;
        if (byTicket.get(receipt.ticket) == receipt && receipt.size() > 0) {
            heavy.add(receipt);
            fit();
        }
    }

    void drop(Receipt receipt) {
        receipt.over = true;
        heavy.remove(receipt);
        if (byTicket.remove(receipt.ticket, receipt)) {
            byKey.remove(receipt.key, receipt);
            bytes -= receipt.size();
        }
    }

    int size() {
        return byTicket.size();
    }

    private void fit() {
        Iterator<Receipt> oldest = heavy.iterator();
        while (bytes > mostBytes && oldest.hasNext()) {
            Receipt receipt = oldest.next();
            oldest.remove();
            bytes -= receipt.size();
            receipt.body = null;
            receipt.result = null;
        }
    }
}
