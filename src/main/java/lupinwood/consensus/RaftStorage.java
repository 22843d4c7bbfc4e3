package lupinwood.consensus;

import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * A voter's storage directory: one MVStore file. MVStore verifies what it reads and opens the last
 * complete version. Whatever MicroRaft needs durable is synced before its call returns: the {@code
 * persistAndFlush} methods and {@link #flush} sync all earlier writes, the other methods don't.
 *
 * <p>After the first failure of a put, a commit or a sync, this class rejects all further writes
 * and removals, and the voter stops voting until it is restarted: a disk that failed once may
 * confirm writes that it didn't keep. A failed removal of entries or chunks has no such effect: the
 * caller gets MVStore's exception, and later writes are still accepted.
 *
 * <p>Not thread-safe: owned by the task loop thread of the cluster's membership. Other threads only
 * open and restore it before the loop uses it, close it after the loop was closed, and read {@link
 * #syncCount} for the log.
 */
final class RaftStorage implements RaftStore, Closeable {
    private static final String FILE_NAME = "council.mv";
    private static final String FORMAT = "1";
    private static final int CACHE_MB = 1;
    private static final int COMPACTION_INTERVAL_SYNCS = 512;
    private static final int MAX_COMPACTION_MILLIS = 20;

    private final MVStore store;
    private final MVMap<String, String> properties;
    private final MVMap<Long, String> log;
    private final MVMap<String, String> chunks;
    private final Consumer<String> onFailure;
    private boolean failed;
    private long syncCount;

    private RaftStorage(MVStore store, Consumer<String> onFailure) {
        this.store = store;
        this.onFailure = onFailure;
        properties = store.openMap("facts");
        log = store.openMap("log");
        chunks = store.openMap("chunks");
    }

    /**
     * Opens or creates the storage.
     *
     * @param onFailure called once, with the error, when a put, a commit or a sync fails
     * @throws IOException if another process uses the directory, the file is damaged, or it has
     *     another format
     */
    static RaftStorage open(Path directory, Consumer<String> onFailure) throws IOException {
        Files.createDirectories(directory);
        MVStore store;
        try {
            store =
                    new MVStore.Builder()
                            .fileName(directory.resolve(FILE_NAME).toString())
                            .autoCommitDisabled()
                            .cacheSize(CACHE_MB)
                            .open();
        } catch (MVStoreException e) {
            String message = e.getMessage() == null ? "" : e.getMessage();
            throw new IOException(
                    message.contains("lock")
                            ? "storage directory is in use by another process: " + directory
                            : "storage directory "
                                    + directory
                                    + " cannot be read: "
                                    + message.replaceAll("\\[.*", "").strip());
        }
        RaftStorage storage = new RaftStorage(store, onFailure);
        String format = storage.properties.putIfAbsent("form", FORMAT);
        if (format != null && !format.equals(FORMAT)) {
            store.closeImmediately();
            throw new IOException(
                    "storage directory "
                            + directory
                            + " has format "
                            + format
                            + "; this version reads format "
                            + FORMAT);
        }
        return storage;
    }

    /** The stored state; null if it has no voter identity or no members. */
    RestoredRaftState restore() throws IOException {
        try {
            List<SnapshotChunk> snapshotChunks = new ArrayList<>();
            chunks.keyIterator(null)
                    .forEachRemaining(
                            key ->
                                    snapshotChunks.add(
                                            RaftCodec.decodeChunk(json(chunks.get(key)))));
            List<LogEntry> entries = new ArrayList<>();
            log.keyIterator(null)
                    .forEachRemaining(
                            key -> entries.add(RaftCodec.decodeEntry(json(log.get(key)))));
            return RestoredState.restore(self(), members(), term(), snapshotChunks, entries);
        } catch (RuntimeException e) {
            throw new IOException("stored consensus state cannot be read: " + e);
        }
    }

    private RaftEndpointPersistentState self() {
        String stored = properties.get("self");
        return stored == null
                ? null
                : RaftCodec.MODEL_FACTORY
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(json(stored).get("id").getAsString()))
                        .setVoting(json(stored).get("voting").getAsBoolean())
                        .build();
    }

    private RaftGroupMembersView members() {
        String stored = properties.get("members");
        return stored == null ? null : RaftCodec.decodeView(JsonParser.parseString(stored));
    }

    private RaftTermPersistentState term() {
        String stored = properties.get("term");
        if (stored == null) {
            return null;
        }
        JsonElement votedFor = json(stored).get("votedFor");
        return RaftCodec.MODEL_FACTORY
                .createRaftTermPersistentStateBuilder()
                .setTerm(json(stored).get("term").getAsInt())
                .setVotedFor(
                        votedFor == null || votedFor.isJsonNull()
                                ? null
                                : new Voter(votedFor.getAsString()))
                .build();
    }

    private static JsonObject json(String text) {
        return JsonParser.parseString(text).getAsJsonObject();
    }

    /** Makes all earlier writes durable before it returns. */
    private void commitAndSync() throws IOException {
        try {
            store.commit();
            store.sync();
            FaultInjection.onSync();
            if (++syncCount % COMPACTION_INTERVAL_SYNCS == 0) {
                store.compactFile(MAX_COMPACTION_MILLIS);
            }
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    private IOException failure(Exception e) {
        if (!failed) {
            failed = true;
            onFailure.accept(String.valueOf(e.getMessage()));
        }
        return new IOException("write to the storage directory failed: " + e.getMessage());
    }

    private void requireHealthy() throws IOException {
        if (failed) {
            throw new IOException("an earlier write to the storage directory failed");
        }
    }

    private void put(String key, JsonElement value) throws IOException {
        requireHealthy();
        try {
            properties.put(key, value.toString());
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        JsonObject text = new JsonObject();
        text.addProperty("id", RaftCodec.id(self.getLocalEndpoint()));
        text.addProperty("voting", self.isVoting());
        put("self", text);
        commitAndSync();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members)
            throws IOException {
        put("members", RaftCodec.encode(members));
        commitAndSync();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        JsonObject text = new JsonObject();
        text.addProperty("term", term.getTerm());
        text.add("votedFor", JsonNull.INSTANCE);
        if (term.getVotedFor() != null) {
            text.addProperty("votedFor", RaftCodec.id(term.getVotedFor()));
        }
        put("term", text);
        commitAndSync();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        requireHealthy();
        try {
            entries.forEach(entry -> log.put(entry.getIndex(), RaftCodec.encode(entry).toString()));
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        requireHealthy();
        try {
            chunks.put(
                    key(chunk.getIndex(), chunk.getSnapshotChunkIndex()),
                    RaftCodec.encode(chunk).toString());
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    private static String key(long index, int chunk) {
        return String.format("%019d.%09d", index, chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        requireHealthy();
        for (Long last = log.lastKey(); last != null && last >= index; last = log.lastKey()) {
            log.remove(last);
        }
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        requireHealthy();
        for (Long first = log.firstKey(); first != null && first <= index; first = log.firstKey()) {
            log.remove(first);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        requireHealthy();
        for (int chunk = 0; chunk < count; chunk++) {
            chunks.remove(key(index, chunk));
        }
    }

    @Override
    public void flush() throws IOException {
        requireHealthy();
        commitAndSync();
    }

    /** The number of syncs so far. */
    long syncCount() {
        return syncCount;
    }

    @Override
    public void close() {
        if (failed) {
            store.closeImmediately();
        } else {
            store.close(0); // without compaction, which runs every COMPACTION_INTERVAL_SYNCS syncs
        }
    }
}
