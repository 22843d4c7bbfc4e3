package lupinwood.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.node.Moment;
import lupinwood.node.TicketId;

/**
 * The receipted tickets remembered here, with the results of those that ran. When bodies and results outgrow
 * their bound the oldest lose theirs; the receipt itself stays, so a repeat is still known and never runs.
 */
final class Receipts {
    /** One remembered ticket. */
    static final class Receipt {
        final ReceiptKey key;
        final TicketId ticket;
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

    private final Map<ReceiptKey, Receipt> byKey = new LinkedHashMap<>();
    private final Map<TicketId, Receipt> byTicket = new HashMap<>();
    private final long mostBytes;
    private long bytes;

    Receipts(long mostBytes) {
        this.mostBytes = mostBytes;
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
        Receipt before = byKey.get(key);
        if (before != null) {
            drop(before);
        }
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

    void drop(Receipt receipt) {
        receipt.over = true;
        if (byTicket.remove(receipt.ticket, receipt)) {
            byKey.remove(receipt.key, receipt);
            bytes -= receipt.size();
        }
    }

    int size() {
        return byTicket.size();
    }

    private void fit() {
        Iterator<Receipt> oldest = byKey.values().iterator();
        while (bytes > mostBytes && oldest.hasNext()) {
            Receipt receipt = oldest.next();
            if (receipt.over) {
                bytes -= receipt.size();
                receipt.body = null;
                receipt.result = null;
            }
        }
    }
}
