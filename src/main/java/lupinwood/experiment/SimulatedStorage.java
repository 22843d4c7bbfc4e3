package lupinwood.experiment;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.List;
import java.util.TreeMap;
import lupinwood.consensus.RestoredState;

/** A voter's folder in memory: what wasn't flushed is lost with the process. */
final class SimulatedStorage implements RaftStore {
    /** All that is kept; copied to make it durable. */
    private static final class Content {
        RaftEndpointPersistentState self;
        RaftGroupMembersView members;
        RaftTermPersistentState term;
        final TreeMap<Long, LogEntry> log = new TreeMap<>();
        final TreeMap<String, SnapshotChunk> chunks = new TreeMap<>();

        Content copy() {
            Content copy = new Content();
            copy.self = self;
            copy.members = members;
            copy.term = term;
            copy.log.putAll(log);
            copy.chunks.putAll(chunks);
            return copy;
        }
    }

    private final boolean forgetsVotes;
    private Runnable voted = () -> {};
    private Runnable failed = () -> {};
    private boolean fails;
    private Content now = new Content();
    private Content durable = new Content();

    /**
     * @param forgetsVotes a safeguard left out: the term and the vote are never written down
     */
    SimulatedStorage(boolean forgetsVotes) {
        this.forgetsVotes = forgetsVotes;
    }

    /** Hears of each vote for another. */
    void onVote(Runnable job) {
        voted = job;
    }

    /** From now on nothing can be written; whose folder it is hears of the first time. */
    void fail(Runnable job) {
        fails = true;
        failed = job;
    }

    private void writes() throws IOException {
        if (fails) {
            failed.run();
            throw new IOException("the disk is full");
        }
    }

    /** The process is gone, and with it what it didn't flush. */
    void crash() {
        now = durable.copy();
        fails = false;
    }

    RestoredRaftState restore() {
        return RestoredState.restore(
                now.self, now.members, now.term, now.chunks.values(), now.log.values());
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState self) throws IOException {
        writes();
        now.self = self;
        flush();
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members)
            throws IOException {
        writes();
        now.members = members;
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
        writes();
        if (!forgetsVotes) {
            now.term = term;
        }
        flush();
        if (term.getVotedFor() != null && !term.getVotedFor().equals(now.self.getLocalEndpoint())) {
            voted.run();
        }
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        writes();
        entries.forEach(entry -> now.log.put(entry.getIndex(), entry));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        writes();
        now.chunks.put(
                String.format("%019d.%09d", chunk.getIndex(), chunk.getSnapshotChunkIndex()),
                chunk);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        writes();
        now.log.tailMap(index, true).clear();
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        writes();
        now.log.headMap(index, true).clear();
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) {
        now.chunks.keySet().removeIf(key -> key.startsWith(String.format("%019d.", index)));
    }

    @Override
    public void flush() throws IOException {
        writes();
        durable = now.copy();
    }
}
