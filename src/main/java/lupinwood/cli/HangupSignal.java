package lupinwood.cli;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which by default would end the process. The JVM's only way to hear a signal has no name
 * that the compiler takes without a warning, so it is looked up.
 */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the job, on a thread of its own, at each SIGHUP from now on. False where the process was
     * started with SIGHUP ignored, as under nohup: the JVM then installs no handler, without a
     * word, and none will be heard.
     */
    static boolean onEach(Runnable job) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object heard =
                    Proxy.newProxyInstance(
                            HangupSignal.class.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    job.run();
                                }
                                return null;
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    heard);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM lets no program hear SIGHUP", e);
        }
    }
}
