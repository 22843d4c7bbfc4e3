package lupinwood.balancing;

/** Who tries a server that was left out: each node by itself, or one for all. */
public interface HealthChecker {
    /** Each by itself. */
    HealthChecker ALONE =
            new HealthChecker() {
                @Override
                public boolean mayTry(String server) {
                    return true;
                }

                @Override
                public void tried(String server, boolean well) {
                    // Nobody else is to hear of it.
                }
            };

    /** Whether this node may try it now. */
    boolean mayTry(String server);

    /** What a try came to. */
    void tried(String server, boolean well);
}
