package lupinwood.net;

import lupinwood.processing.AttemptId;
import lupinwood.processing.Executor;

/** The executor beside servers: each request class's runs go to one of the two. */
record ExecutorRouter(ExecutorClient executor, AjpExecutor servers) implements Executor {
    @Override
    public boolean run(AttemptId id, String className, byte[] body) {
        return servers.carriesOut(className)
                ? servers.run(id, className, body)
                : executor.run(id, className, body);
    }

    @Override
    public boolean usesExecutorConnection(String className) {
        return !servers.carriesOut(className);
    }

    @Override
    public boolean giveReply(AttemptId id, byte[] reply) {
        return executor.giveReply(id, reply);
    }

    @Override
    public boolean stop(AttemptId id) {
        return executor.stop(id);
    }

    @Override
    public boolean skipCall(AttemptId id) {
        return executor.skipCall(id);
    }

    @Override
    public void askResourceUsage(long tag) {
        executor.askResourceUsage(tag);
    }

    @Override
    public void checkDeep(long tag) {
        executor.checkDeep(tag);
    }
}
