package lupinwood.config;

/** Where the texts of a configuration come from. */
public interface Sources {
    /** A text can't be had; the message is one line and says why. */
    final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        public Unreadable(String message) {
            super(message);
        }
    }

    /**
     * The name of what a text includes, by which its content is asked for and messages call it.
     *
     * @param from the name of the text that includes; empty for the first
     */
    String resolve(String from, String included) throws Unreadable;

    /** At most so many bytes; a larger text is unreadable. */
    byte[] read(String name, int most) throws Unreadable;
}
