package lupinwood.cluster;

/** What one node at a time is to do for all. */
public record DutyName(String text) implements Comparable<DutyName> {
    /** Tries servers that all nodes have left out. */
    public static final DutyName HEALTH_CHECK = new DutyName("trial");

    /** Gathers the fleet's picture and tells it outside. */
    public static final DutyName STATUS_REPORTER = new DutyName("keeper");

    /** Plans how much goes from where to where. */
    public static final DutyName PLANNER = new DutyName("planner");

    /** Leads releases. */
    public static final DutyName ROLLOUT_CONTROLLER = new DutyName("conductor");

    @Override
    public int compareTo(DutyName other) {
        return text.compareTo(other.text);
    }

    @Override
    public String toString() {
        return text;
    }
}
