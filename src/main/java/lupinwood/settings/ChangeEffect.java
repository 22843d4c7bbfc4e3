package lupinwood.settings;

/** When a changed entry counts in a node that runs. */
public enum ChangeEffect {
    /** From the step on in which the node takes it over. */
    AT_ONCE("at once"),
    /** For requests that come after that step; those in hand keep what they came under. */
    NEW_REQUESTS("for new tickets"),
    /** For connections that are made, or fall idle, after that step. */
    NEW_CONNECTIONS("for new connections"),
    /** After a restart; until then the node keeps the value it has. */
    RESTART("needs a restart"),
    /**
     * Never in this life: the whole configuration is refused, since even a restart could break a
     * rule.
     */
    REFUSED("refused");

    private final String said;

    ChangeEffect(String said) {
        this.said = said;
    }

    public String said() {
        return said;
    }
}
