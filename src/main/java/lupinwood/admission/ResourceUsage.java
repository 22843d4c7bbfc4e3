package lupinwood.admission;

import java.util.List;

/**
 * A reading of the node's resource usage; NaN for a value that is not available.
 *
 * @param coreUse share of the cores in use
 * @param wantingCore running requests that want a core rather than wait for a disk
 * @param memoryShare share of the memory in use
 * @param connections open connections of upstreams
 */
public record ResourceUsage(
        double coreUse, double wantingCore, double memoryShare, double connections) {
    /** A reading without any value. */
    public static final ResourceUsage UNKNOWN = named(List.of(), new double[0]);

    /**
     * Assigns values to their names: {@code values[i]} is the reading named {@code names[i]}, in
     * the order of the settings. Unknown names are ignored.
     */
    public static ResourceUsage named(List<String> names, double[] values) {
        return new ResourceUsage(
                value("core_use", names, values),
                value("on_cores", names, values),
                value("heap_share", names, values),
                value("links", names, values));
    }

    private static double value(String name, List<String> names, double[] values) {
        int index = names.indexOf(name);
        return index >= 0 && index < values.length ? values[index] : Double.NaN;
    }
}
