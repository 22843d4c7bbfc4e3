package lupinwood.admission;

/** A small histogram of positive figures in coarse bins, halved when it has taken in so many. */
public final class Histogram {
    /** Samples that most histograms take in before they are halved: follows a change in seconds. */
    static final int RECENT_SAMPLES = 32;

    /** Samples without which no mean or median is trusted. */
    static final double MIN_SAMPLES = 6;

    private static final int BINS = 48;
    private static final double LOWEST = 1e-4;
    private static final double STEP = Math.sqrt(2);

    private static final double[] MIDDLES = new double[BINS];

    static {
        for (int i = 0; i < BINS; i++) {
            MIDDLES[i] = LOWEST * Math.pow(STEP, i + 0.5);
        }
    }

    private final double[] bins = new double[BINS];
    private final double fullAt;
    private double weight;

    /** Asked for far more often than figures come; NaN where it has to be reckoned anew. */
    private double mean = Double.NaN;

    private double median = Double.NaN;

    /** Takes in so many samples before all counts are halved. */
    public Histogram(double fullAt) {
        this.fullAt = fullAt;
    }

    /** Takes in one sample; those under the lowest bin count as that. */
    public void add(double figure) {
        double place = Math.log(Math.max(figure, LOWEST) / LOWEST) / Math.log(STEP);
        bins[Math.min(BINS - 1, (int) place)] += 1;
        weight += 1;
        mean = Double.NaN;
        median = Double.NaN;
        if (weight >= fullAt) {
            for (int i = 0; i < BINS; i++) {
                bins[i] /= 2;
            }
            weight /= 2;
        }
    }

    /** How many samples count, after halving. */
    public double weight() {
        return weight;
    }

    /** The middle of the bin that holds the median; of an empty histogram that of the lowest. */
    public double median() {
        if (Double.isNaN(median)) {
            int bin = 0;
            for (double cumulative = bins[0];
                    cumulative * 2 < weight && bin < BINS - 1;
                    cumulative += bins[bin]) {
                bin++;
            }
            median = MIDDLES[bin];
        }
        return median;
    }

    /** The mean over the bins' middles; 0 of an empty histogram. */
    public double mean() {
        if (Double.isNaN(mean)) {
            double sum = 0;
            for (int i = 0; i < BINS; i++) {
                sum += bins[i] * MIDDLES[i];
            }
            mean = weight > 0 ? sum / weight : 0;
        }
        return mean;
    }
}
