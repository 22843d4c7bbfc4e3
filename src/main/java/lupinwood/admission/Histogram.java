package lupinwood.admission;

/**
 * A histogram of positive values, of one unit that the caller chooses, in 48 logarithmic bins. Each
 * time its weight reaches a bound all counts are halved, so that recent values count most.
 */
public final class Histogram {
    /**
     * How many recent samples count: the usual weight at which counts are halved, so that a
     * histogram follows a change within seconds. Also used as the length of other averages over
     * recent requests.
     */
    static final int RECENT_SAMPLES = 32;

    /** The least weight, in samples after halving, at which a mean or a median is used. */
    static final double MIN_WEIGHT = 6;

    private static final int BIN_COUNT = 48;

    /** The lower bound of the lowest bin; in this package always in seconds. */
    private static final double LOWEST_BIN_BOUND = 1e-4;

    private static final double BIN_WIDTH_RATIO = Math.sqrt(2);

    private static final double[] BIN_MIDPOINTS = new double[BIN_COUNT];

    static {
        for (int i = 0; i < BIN_COUNT; i++) {
            BIN_MIDPOINTS[i] = LOWEST_BIN_BOUND * Math.pow(BIN_WIDTH_RATIO, i + 0.5);
        }
    }

    private final double[] bins = new double[BIN_COUNT];
    private final double halvingWeight;
    private double weight;

    /**
     * Cached, since it is read far more often than values are added; NaN when it has to be
     * recomputed.
     */
    private double mean = Double.NaN;

    private double median = Double.NaN;

    /**
     * Creates an empty histogram.
     *
     * @param halvingWeight the weight at which all counts are halved
     */
    public Histogram(double halvingWeight) {
        this.halvingWeight = halvingWeight;
    }

    /**
     * Adds one value; a value below the lowest bin counts in that bin, one above the highest in
     * that.
     */
    public void add(double value) {
        double position =
                Math.log(Math.max(value, LOWEST_BIN_BOUND) / LOWEST_BIN_BOUND)
                        / Math.log(BIN_WIDTH_RATIO);
        bins[Math.min(BIN_COUNT - 1, (int) position)] += 1;
        weight += 1;
        mean = Double.NaN;
        median = Double.NaN;
        if (weight >= halvingWeight) {
            for (int i = 0; i < BIN_COUNT; i++) {
                bins[i] /= 2;
            }
            weight /= 2;
        }
    }

    /** The number of samples after halving. */
    public double weight() {
        return weight;
    }

    /**
     * The midpoint of the bin that holds the median; that of the lowest bin if the histogram is
     * empty.
     */
    public double median() {
        if (Double.isNaN(median)) {
            int bin = 0;
            for (double cumulative = bins[0];
                    cumulative * 2 < weight && bin < BIN_COUNT - 1;
                    cumulative += bins[bin]) {
                bin++;
            }
            median = BIN_MIDPOINTS[bin];
        }
        return median;
    }

    /** The mean over the midpoints of the bins; 0 if the histogram is empty. */
    public double mean() {
        if (Double.isNaN(mean)) {
            double sum = 0;
            for (int i = 0; i < BIN_COUNT; i++) {
                sum += bins[i] * BIN_MIDPOINTS[i];
            }
            mean = weight > 0 ? sum / weight : 0;
        }
        return mean;
    }
}
