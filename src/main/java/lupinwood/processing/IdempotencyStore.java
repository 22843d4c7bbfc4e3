package lupinwood.processing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.RequestId;

/**
 * The idempotent requests remembered here, with the results of those that ran, bounded in number
 * and in bytes. When bodies and results outgrow their bound the oldest lose theirs; the idempotency
 * record itself stays, so a repeat is still known and never runs. When there are too many, no more
 * are admitted.
 *
 * <p>Owned by the event loop thread.
 */
final class IdempotencyStore {
    /** One remembered request. */
    static final class IdempotencyRecord {
        final IdempotencyKey key;
        final RequestId requestId;

        /** By the clock that stamps requests. */
        final MonotonicTime ends;

        /** Null once it was dropped for want of room. */
        byte[] body;

        /** Null before the run went well, or once it was dropped for want of room. */
        byte[] result;

        boolean over;

        /** Repeats that wait for the result. */
        final List<RequestId> waiting = new ArrayList<>();

        private IdempotencyRecord(
                IdempotencyKey key, RequestId requestId, MonotonicTime ends, byte[] body) {
            this.key = key;
            this.requestId = requestId;
            this.ends = ends;
            this.body = body;
        }

        private int size() {
            return (body == null ? 0 : body.length) + (result == null ? 0 : result.length);
        }
    }

    private final Map<IdempotencyKey, IdempotencyRecord> byKey = new HashMap<>();
    private final Map<RequestId, IdempotencyRecord> byRequest = new HashMap<>();

    /**
     * Those that are over and still have their bytes, the oldest first: what is dropped is found in
     * one step.
     */
    private final Set<IdempotencyRecord> evictable = new LinkedHashSet<>();

    private final int maxRecords;
    private final long maxBytes;
    private long bytes;

    IdempotencyStore(int maxRecords, long maxBytes) {
        this.maxRecords = maxRecords;
        this.maxBytes = maxBytes;
    }

    boolean isFull() {
        return byRequest.size() >= maxRecords;
    }

    /** The idempotency record that a request which came at this moment repeats, or null. */
    IdempotencyRecord find(IdempotencyKey key, MonotonicTime reached) {
        IdempotencyRecord known = key == null ? null : byKey.get(key);
        return known != null && reached.isBefore(known.ends) ? known : null;
    }

    IdempotencyRecord of(RequestId requestId) {
        return byRequest.get(requestId);
    }

    IdempotencyRecord remember(
            IdempotencyKey key, RequestId requestId, MonotonicTime ends, byte[] body) {
        // One before, past its window, may still run and have repeats that wait for it; it goes at
        // its own time.
        IdempotencyRecord idempotencyRecord = new IdempotencyRecord(key, requestId, ends, body);
        byKey.put(key, idempotencyRecord);
        byRequest.put(requestId, idempotencyRecord);
        bytes += idempotencyRecord.size();
        evictToFit();
        return idempotencyRecord;
    }

    void keepResult(IdempotencyRecord idempotencyRecord, byte[] result) {
        if (byRequest.get(idempotencyRecord.requestId) == idempotencyRecord) {
            idempotencyRecord.result = result;
            bytes += result.length;
            evictToFit();
        }
    }

    /** It runs no more: its bytes may go. */
    void over(IdempotencyRecord idempotencyRecord) {
        idempotencyRecord.over = true;
        if (byRequest.get(idempotencyRecord.requestId) == idempotencyRecord
                && idempotencyRecord.size() > 0) {
            evictable.add(idempotencyRecord);
            evictToFit();
        }
    }

    void drop(IdempotencyRecord idempotencyRecord) {
        idempotencyRecord.over = true;
        evictable.remove(idempotencyRecord);
        if (byRequest.remove(idempotencyRecord.requestId, idempotencyRecord)) {
            byKey.remove(idempotencyRecord.key, idempotencyRecord);
            bytes -= idempotencyRecord.size();
        }
    }

    int size() {
        return byRequest.size();
    }

    private void evictToFit() {
        Iterator<IdempotencyRecord> oldest = evictable.iterator();
        while (bytes > maxBytes && oldest.hasNext()) {
            IdempotencyRecord idempotencyRecord = oldest.next();
            oldest.remove();
            bytes -= idempotencyRecord.size();
            idempotencyRecord.body = null;
            idempotencyRecord.result = null;
        }
    }
}
