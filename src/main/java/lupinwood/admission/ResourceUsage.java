package lupinwood.admission;

import java.util.List;

/**
 * What the machine reads off itself; NaN for what it can't tell.
 *
 * @param coreUse share of the cores in use
 * @param wantingCore runs that want a core and wait for no disk
 * @param memoryShare share of the memory in use
 * @param connections of upstreams that stand open
 */
public record ResourceUsage(
        double coreUse, double wantingCore, double memoryShare, double connections) {
    /** Nothing was read. */
    public static final ResourceUsage UNKNOWN = named(List.of(), new double[0]);

    /**
     * Values in the order of their names, as the settings list them; other names are passed over.
     */
    public static ResourceUsage named(List<String> names, double[] values) {
        return new ResourceUsage(
                value("core_use", names, values),
                value("on_cores", names, values),
                value("heap_share", names, values),
                value("links", names, values));
    }

    private static double value(String name, List<String> names, double[] values) {
        int place = names.indexOf(name);
        return place >= 0 && place < values.length ? values[place] : Double.NaN;
    }
}
