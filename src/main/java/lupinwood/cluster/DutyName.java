package lupinwood.cluster;

/**
 * A duty that one node at a time performs for the whole fleet. The texts are stored, sent and
 * logged, and so keep their older names.
 */
public record DutyName(String text) implements Comparable<DutyName> {
    /** Checks the health of servers that all nodes have ejected; stored as "trial". */
    public static final DutyName HEALTH_CHECK = new DutyName("trial");

    /** Collects the fleet's status and reports it outside; stored as "keeper". */
    public static final DutyName STATUS_REPORTER = new DutyName("keeper");

    /** Plans how many requests each site sends to each location. */
    public static final DutyName PLANNER = new DutyName("planner");

    /** Drives rollouts; stored as "conductor". */
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
