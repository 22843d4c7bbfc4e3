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
 * A voter's folder: one file of MVStore, which checks what it reads and takes up its last whole
 * version. What is to be durable is synced before the library goes on. After the first failure
 * nothing is written any more: what a disk that failed once says it has kept can't be trusted, so
 * the voter stops voting until it is started anew.
 */
final class RaftStorage implements RaftStore, Closeable {
    private static final String FILE = "council.mv";
    private static final String FORM = "1";
    private static final int CACHE_MB = 1;
    private static final int COMPACT_EVERY = 512;
    private static final int COMPACT_MILLIS = 20;

    private final MVStore store;
    private final MVMap<String, String> facts;
    private final MVMap<Long, String> log;
    private final MVMap<String, String> chunks;
    private final Consumer<String> failed;
    private boolean broken;
    private long flushes;

    private RaftStorage(MVStore store, Consumer<String> failed) {
        this.store = store;
        this.failed = failed;
        facts = store.openMap("facts");
        log = store.openMap("log");
        chunks = store.openMap("chunks");
    }

    /**
     * Opens or makes it; a second process on one folder, a damaged file and a newer form are told
     * by the exception.
     *
     * @param failed told once, when a write failed
     */
    static RaftStorage open(Path at, Consumer<String> failed) throws IOException {
        Files.createDirectories(at);
        MVStore store;
        try {
            store =
                    new MVStore.Builder()
                            .fileName(at.resolve(FILE).toString())
                            .autoCommitDisabled()
                            .cacheSize(CACHE_MB)
                            .open();
        } catch (MVStoreException e) {
            String message = e.getMessage() == null ? "" : e.getMessage();
            throw new IOException(
                    message.contains("lock")
                            ? "another process uses the folder " + at
                            : "the folder "
                                    + at
                                    + " can't be read: "
                                    + message.replaceAll("\\[.*", "").strip());
        }
        RaftStorage storage = new RaftStorage(store, failed);
        String form = storage.facts.putIfAbsent("form", FORM);
        if (form != null && !form.equals(FORM)) {
            store.closeImmediately();
            throw new IOException(
                    "the folder " + at + " has form " + form + "; this build reads form " + FORM);
        }
        return storage;
    }

    /** Null where nothing is kept that makes it a voter. */
    RestoredRaftState restore() throws IOException {
        try {
            List<SnapshotChunk> pieces = new ArrayList<>();
            chunks.keyIterator(null)
                    .forEachRemaining(key -> pieces.add(RaftCodec.chunk(json(chunks.get(key)))));
            List<LogEntry> entries = new ArrayList<>();
            log.keyIterator(null)
                    .forEachRemaining(key -> entries.add(RaftCodec.entry(json(log.get(key)))));
            return RestoredState.restore(self(), members(), term(), pieces, entries);
        } catch (RuntimeException e) {
            throw new IOException("the folder holds what can't be read: " + e);
        }
    }

    private RaftEndpointPersistentState self() {
        String stored = facts.get("self");
        return stored == null
                ? null
                : RaftCodec.MODEL
                        .createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(new Voter(json(stored).get("id").getAsString()))
                        .setVoting(json(stored).get("voting").getAsBoolean())
                        .build();
    }

    private RaftGroupMembersView members() {
        String stored = facts.get("members");
        return stored == null ? null : RaftCodec.view(JsonParser.parseString(stored));
    }

    private RaftTermPersistentState term() {
        String stored = facts.get("term");
        if (stored == null) {
            return null;
        }
        JsonElement votedFor = json(stored).get("votedFor");
        return RaftCodec.MODEL
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

    /** What was put in is durable once this returns. */
    private void durable() throws IOException {
        try {
            store.commit();
            store.sync();
            FaultInjection.onSync();
            if (++flushes % COMPACT_EVERY == 0) {
                store.compactFile(COMPACT_MILLIS);
            }
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    private IOException failure(Exception e) {
        if (!broken) {
            broken = true;
            failed.accept(String.valueOf(e.getMessage()));
        }
        return new IOException("the folder failed: " + e.getMessage());
    }

    private void whole() throws IOException {
        if (broken) {
            throw new IOException("the folder failed before");
        }
    }

    private void put(String name, JsonElement text) throws IOException {
        whole();
        try {
            facts.put(name, text.toString());
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
        durable();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members)
            throws IOException {
        put("members", RaftCodec.of(members));
        durable();
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
        durable();
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        whole();
        try {
            entries.forEach(entry -> log.put(entry.getIndex(), RaftCodec.of(entry).toString()));
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        whole();
        try {
            chunks.put(
                    key(chunk.getIndex(), chunk.getSnapshotChunkIndex()),
                    RaftCodec.of(chunk).toString());
        } catch (MVStoreException e) {
            throw failure(e);
        }
    }

    private static String key(long index, int chunk) {
        return String.format("%019d.%09d", index, chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        whole();
        for (Long last = log.lastKey(); last != null && last >= index; last = log.lastKey()) {
            log.remove(last);
        }
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        whole();
        for (Long first = log.firstKey(); first != null && first <= index; first = log.firstKey()) {
            log.remove(first);
        }
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        whole();
        for (int chunk = 0; chunk < count; chunk++) {
            chunks.remove(key(index, chunk));
        }
    }

    @Override
    public void flush() throws IOException {
        whole();
        durable();
    }

    /** How often something was made durable. */
    long flushes() {
        return flushes;
    }

    @Override
    public void close() {
        if (broken) {
            store.closeImmediately();
        } else {
            store.close(0); // compacting is for quiet hours
        }
    }
}
