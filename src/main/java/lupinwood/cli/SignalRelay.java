package lupinwood.cli;

/** A signal that may come before there is anyone to hear it: it is kept until then, once. */
final class SignalRelay {
    private Runnable hears;
    private boolean came;

    synchronized void signal() {
        if (hears == null) {
            came = true;
        } else {
            hears.run();
        }
    }

    synchronized void to(Runnable listener) {
        hears = listener;
        if (came) {
            listener.run();
        }
    }
}
