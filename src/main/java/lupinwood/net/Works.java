package lupinwood.net;

import lupinwood.core.Executor;
import lupinwood.core.TryId;

/** The executor beside servers: each track's runs go to one of the two. */
record Works(ExecutorLink executor, AjpServers servers) implements Executor {
    @Override
    public boolean run(TryId id, String track, byte[] body) {
        return servers.carriesOut(track)
                ? servers.run(id, track, body)
                : executor.run(id, track, body);
    }

    @Override
    public boolean isOnLink(String track) {
        return !servers.carriesOut(track);
    }

    @Override
    public boolean giveReply(TryId id, byte[] reply) {
        return executor.giveReply(id, reply);
    }

    @Override
    public boolean stop(TryId id) {
        return executor.stop(id);
    }

    @Override
    public boolean skipCall(TryId id) {
        return executor.skipCall(id);
    }

    @Override
    public void askGauges(long tag) {
        executor.askGauges(tag);
    }

    @Override
    public void checkDeep(long tag) {
        executor.checkDeep(tag);
    }
}
