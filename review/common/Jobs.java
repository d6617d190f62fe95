import com.fasterxml.jackson.databind.node.ObjectNode;

/** Submissions in the form that PROTOCOL gives. */
final class Jobs {
  private Jobs() {}

  static ObjectNode job(String id, String kind, int tasks, double cpus, double memoryGb) {
    ObjectNode out = Http.object().put("ref", id).put("runflokkur", "kaart");
    out.put("eigandi", "prognoos-00").put("gerd", kind).put("forgang", "normal");
    out.put("verkbitar", tasks).put("cpus", cpus).put("accelerators", 0.0);
    out.put("memory_gb", memoryGb).put("mynd", "img-07").put("pull_gb", 0.2);
    out.putNull("velagerdir").putNull("svaedi").put("together", false).put("scatter", false);
    out.put("lanvelar", false).put("aaetlun_s", kind.equals("daemon") ? 0.0 : 10.0);
    out.put("vista_bil_s", 0.0).put("vistun_s", 0.0).putNull("skiladagur_s");
    return out;
  }
}
