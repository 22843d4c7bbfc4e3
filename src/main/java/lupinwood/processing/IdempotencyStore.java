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
import lupinwood.admission.TimerSet;

/**
 * The idempotency records, with the results of the requests that ran, bounded in number. When the
 * bodies and results exceed their limit in bytes, those of the records that finished first are
 * dropped; those of unfinished records are kept even beyond the limit. The record itself stays: a
 * repeat is still recognized, does not run, and fails. When the number of records is at its limit,
 * no request with a new idempotency key is admitted.
 *
 * <p>The records are in memory only and end with the process. A retry that arrives after a restart
 * may therefore run again.
 *
 * <p>Owned by the event loop thread.
 */
final class IdempotencyStore {
    /** One remembered request. */
    static final class IdempotencyRecord {
        final IdempotencyKey key;
        final RequestId requestId;

        /** The end of the window, by the clock that stamps requests. */
        final MonotonicTime windowEndsAt;

        /** Null once it was dropped to free memory. */
        byte[] body;

        /** Null until the run succeeds, and once it was dropped to free memory. */
        byte[] result;

        /**
         * Whether the request has ended or the record was dropped: its result, if any, is final.
         */
        boolean finished;

        /**
         * The record before this one with the same key, whose window ended before this one's
         * request arrived; null if there is none.
         */
        private IdempotencyRecord earlier;

        /** Drops the record at its expiry; null until it is scheduled. */
        TimerSet.Timer expiryTimer;

        /** The repeats that wait for the result. */
        final List<RequestId> waitingRepeats = new ArrayList<>();

        private IdempotencyRecord(
                IdempotencyKey key, RequestId requestId, MonotonicTime windowEndsAt, byte[] body) {
            this.key = key;
            this.requestId = requestId;
            this.windowEndsAt = windowEndsAt;
            this.body = body;
        }

        private int byteCount() {
            return (body == null ? 0 : body.length) + (result == null ? 0 : result.length);
        }
    }

    /** The latest record of each key, with the key's earlier records behind it. */
    private final Map<IdempotencyKey, IdempotencyRecord> latestByKey = new HashMap<>();

    private final Map<RequestId, IdempotencyRecord> byRequest = new HashMap<>();

    /**
     * Finished records that still hold their bytes, in the order in which they finished, so that
     * the next bytes to drop are found in one step.
     */
    private final Set<IdempotencyRecord> evictable = new LinkedHashSet<>();

    private final int maxRecords;
    private final long maxBytes;
    private long storedBytes;

    IdempotencyStore(int maxRecords, long maxBytes) {
        this.maxRecords = maxRecords;
        this.maxBytes = maxBytes;
    }

    boolean isFull() {
        return byRequest.size() >= maxRecords;
    }

    /**
     * Finds the latest record that a request with this arrival time repeats; null if there is none
     * or its window has ended.
     */
    IdempotencyRecord find(IdempotencyKey key, MonotonicTime reached) {
        IdempotencyRecord found = key == null ? null : latestByKey.get(key);
        while (found != null && !reached.isBefore(found.windowEndsAt)) {
            found = found.earlier;
        }
        return found;
    }

    IdempotencyRecord findByRequest(RequestId requestId) {
        return byRequest.get(requestId);
    }

    IdempotencyRecord remember(
            IdempotencyKey key, RequestId requestId, MonotonicTime windowEndsAt, byte[] body) {
        // An earlier request with this key, past its window, may still run and have repeats that
        // wait for it or that were not read yet; that earlier record is dropped at its own expiry.
        IdempotencyRecord idempotencyRecord =
                new IdempotencyRecord(key, requestId, windowEndsAt, body);
        idempotencyRecord.earlier = latestByKey.put(key, idempotencyRecord);
        byRequest.put(requestId, idempotencyRecord);
        storedBytes += idempotencyRecord.byteCount();
        evictToFit();
        return idempotencyRecord;
    }

    void keepResult(IdempotencyRecord idempotencyRecord, byte[] result) {
        if (byRequest.get(idempotencyRecord.requestId) == idempotencyRecord) {
            idempotencyRecord.result = result;
            storedBytes += result.length;
            evictToFit();
        }
    }

    /** Marks a record whose request has ended: its bytes may be dropped. */
    void finish(IdempotencyRecord idempotencyRecord) {
        idempotencyRecord.finished = true;
        if (byRequest.get(idempotencyRecord.requestId) == idempotencyRecord
                && idempotencyRecord.byteCount() > 0) {
            evictable.add(idempotencyRecord);
            evictToFit();
        }
    }

    void drop(IdempotencyRecord idempotencyRecord) {
        idempotencyRecord.finished = true;
        evictable.remove(idempotencyRecord);
        if (byRequest.remove(idempotencyRecord.requestId, idempotencyRecord)) {
            removeFromKey(idempotencyRecord);
            storedBytes -= idempotencyRecord.byteCount();
        }
    }

    /** Removes a record from those of its key; the key's other records stay known. */
    private void removeFromKey(IdempotencyRecord idempotencyRecord) {
        IdempotencyRecord later = latestByKey.get(idempotencyRecord.key);
        if (later != idempotencyRecord) {
            while (later.earlier != idempotencyRecord) {
                later = later.earlier;
            }
            later.earlier = idempotencyRecord.earlier;
        } else if (idempotencyRecord.earlier == null) {
            latestByKey.remove(idempotencyRecord.key);
        } else {
            latestByKey.put(idempotencyRecord.key, idempotencyRecord.earlier);
        }
    }

    int size() {
        return byRequest.size();
    }

    private void evictToFit() {
        Iterator<IdempotencyRecord> oldestFirst = evictable.iterator();
        while (storedBytes > maxBytes && oldestFirst.hasNext()) {
            IdempotencyRecord idempotencyRecord = oldestFirst.next();
            oldestFirst.remove();
            storedBytes -= idempotencyRecord.byteCount();
            idempotencyRecord.body = null;
            idempotencyRecord.result = null;
        }
    }
}
