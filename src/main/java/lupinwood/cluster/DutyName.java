package lupinwood.cluster;

/**
 * What one node at a time is to do for all. The texts are stored, sent and logged, and so keep the
 * older names.
 */
public record DutyName(String text) implements Comparable<DutyName> {
    /** Checks the health of servers that all nodes have ejected; stored as "trial". */
    public static final DutyName HEALTH_CHECK = new DutyName("trial");

    /** Gathers the fleet's status and reports it outside; stored as "keeper". */
    public static final DutyName STATUS_REPORTER = new DutyName("keeper");

    /** Plans how much goes from where to where. */
    public static final DutyName PLANNER = new DutyName("planner");

    /** Leads rollouts; stored as "conductor". */
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
